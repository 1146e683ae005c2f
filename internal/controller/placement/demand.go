package placement

import "damsonkeel/internal/controller/message"

// maxDemandPerJob is the maximum number of pending tasks of one job that count as demand. The
// autoscaler provisions for far fewer tasks at once.
const maxDemandPerJob = 1000

// Demand lists, for the autoscaler, how many tasks of each owned job have not started and may
// start now: queued attempts, and pending tasks that the limit of the job's team allows. It
// omits jobs that are in backoff or whose bitmap or inventories have not all been received.
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
