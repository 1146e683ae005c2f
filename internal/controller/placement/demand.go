package placement

import "damsonkeel/internal/controller/message"

// demandMost bounds what one job counts for: far more than is rented at once.
const demandMost = 1000

// Demand lists the work of owned jobs that has not started and may start now.
// What a team's limit holds back is none.
func (pl *Placer) Demand() []message.Demand {
	usage := pl.jobs.TeamUsage()
	var ds []message.Demand
	for _, o := range pl.jobs.InOrder() {
		if !o.Loaded || o.Unverified || o.NotBefore > pl.Now {
			continue
		}
		n := pl.mayStart(o, usage, min(o.MayTry(int(o.Pending.Count())), demandMost))
		pl.jobs.AddUse(o, usage, n)
		n += o.Waiting
		if n > 0 {
			ds = append(ds, message.Demand{Job: o.ID, Zone: o.BoundZone(), Unstarted: n, Level: int(o.Level), EstimateS: pl.jobs.EstimateOf(o), OldestS: pl.Since(o.WaitingSince).Seconds()})
		}
	}
	return ds
}
