package placement

import "damsonkeel/internal/controller/message"

// maxDemandPerJob bounds the tasks that one job counts for: far more than are provisioned
// for at once.
const maxDemandPerJob = 1000

// Demand lists the work of owned jobs that has not started and may start now, for the
// autoscaler. Tasks that their team's limit prevents from starting are left out.
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
