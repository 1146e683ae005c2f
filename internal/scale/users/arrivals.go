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

// arrival is a job that a user submits at a time of the site.
type arrival struct {
	at     time.Duration
	job    protocol.Job
	cancel time.Duration // time after its submission; 0: never
}

// arrivals draws the jobs of a site at random, in order of time.
func arrivals(site *siteconfig.Site, rng *rand.Rand) []arrival {
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

// randomArrival draws one job of a load.
func randomArrival(load siteconfig.Load, at float64, teams []protocol.Team, rng *rand.Rand) arrival {
	a := arrival{at: clock.Seconds(at), job: protocol.Job{
		Class: load.Class, Team: teams[rng.IntN(len(teams))], Kind: load.Kind, Priority: load.Priority, Tasks: uint32(load.Tasks[rng.IntN(len(load.Tasks))]),
		CPUs: load.CPUs, MemoryGB: load.MemoryGB, Image: fmt.Sprintf("%s-%d", load.Class, rng.IntN(load.Images)), ImageGB: load.ImageGB,
		OneZone: load.OneZone, EstimateS: load.RunS * (1 - estimateError + 2*estimateError*rng.Float64()),
	}}
	if rng.Float64() < load.CancelledFraction {
		a.cancel = time.Duration(rng.ExpFloat64()*float64(cancelDelay)) + 1
	}
	return a
}
