package users

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/siteconfig"
)

// arrival is a job that a user submits at a time after the start of the run, and may cancel.
type arrival struct {
	at          time.Duration
	job         protocol.Job
	cancelAfter time.Duration // delay from the submission to the cancellation; 0 if the job is not cancelled
}

// randomArrivals draws the jobs of all loads of a site at random and returns them in order of
// time. The times between the arrivals of a load are exponentially distributed.
func randomArrivals(site *siteconfig.Site, rng *rand.Rand) []arrival {
	var all []arrival
	teams := site.TeamNames()
	for _, load := range site.Load {
		for at := load.FromS + rng.ExpFloat64()/load.JobsPerS; at < load.UntilS; at += rng.ExpFloat64() / load.JobsPerS {
			all = append(all, randomArrival(load, at, teams, rng))
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].job.ID = protocol.JobID(fmt.Sprintf("job-%06d", i))
	}
	return all
}

// randomArrival draws the properties of one job of a load, which arrives at a time in seconds.
func randomArrival(load siteconfig.Load, at float64, teams []protocol.Team, rng *rand.Rand) arrival {
	a := arrival{at: clock.Seconds(at), job: protocol.Job{
		Class: load.Class, Team: teams[rng.IntN(len(teams))], Kind: load.Kind, Priority: load.Priority, Tasks: uint32(load.Tasks[rng.IntN(len(load.Tasks))]),
		CPUs: load.CPUs, MemoryGB: load.MemoryGB, Image: fmt.Sprintf("%s-%d", load.Class, rng.IntN(load.Images)), ImageGB: load.ImageGB,
		OneZone: load.OneZone, EstimateS: load.RunS * (1 - estimateError + 2*estimateError*rng.Float64()),
	}}
	if rng.Float64() < load.CancelledFraction {
		a.cancelAfter = time.Duration(rng.ExpFloat64()*float64(cancelDelay)) + 1
	}
	return a
}
