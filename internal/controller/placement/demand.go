package placement

import "damsonkeel/internal/controller/message"

// maxDemandPerJob bounds the tasks of one job that count as demand. The autoscaler provisions
// for far fewer tasks at once.
const maxDemandPerJob = 1000

// Demand lists, for the autoscaler, the tasks of owned jobs that have not started and may
// start now. It omits tasks that the limit of their team prevents from starting.
func (p *Placer) Demand() []message.Demand {
	usage := p.jobs.TeamUsage()
	var demands []message.Demand
	for _, job := range p.jobs.InPlacementOrder() {
		if !job.Loaded || job.Unverified || job.NotBefore > p.Now {
			continue
		}
		tasks := p.countWithinLimit(job, usage, min(job.MaxPlaceable(int(job.Pending.Count())), maxDemandPerJob))
		p.jobs.AddUsage(job, usage, tasks)
		tasks += job.Unstarted
		if tasks > 0 {
			demands = append(demands, message.Demand{
				Job:       job.ID,
				Zone:      job.BoundZone(),
				Unstarted: tasks,
				Level:     int(job.Level),
				EstimateS: p.jobs.EstimateRunSeconds(job),
				OldestS:   p.Since(job.WaitingSince).Seconds(),
			})
		}
	}
	return demands
}
