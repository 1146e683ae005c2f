package placement

import (
	"math"
	"time"

	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/ordered"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/protocol"
)

// round is one pass over the jobs with pending tasks.
type round struct {
	usage         map[protocol.Team]resource.Amount
	claims        *Claims
	batches       map[protocol.NodeName][]message.Placement          // by dispatcher
	waits         map[protocol.MachineID]*waittable.UnannouncedWaits // to be announced to the peers
	remaining     int                                                // placements that the step may still make
	unplacedGangs int                                                // pending gangs whose last placement attempt failed
}

// PlacePending runs one placing round: it places the pending tasks of the owned jobs, each once
// and on the machine with the smallest expected wait per processor among those that can run it.
// It then sends the placements to the dispatchers and announces the added waits to the peers.
// After MaxPerStep placements it leaves the remaining jobs to the next round. It does nothing
// before the machine types have been read.
func (p *Placer) PlacePending() {
	p.table.PlacementDue = false
	if len(p.Types) == 0 {
		return
	}
	r := &round{
		usage:     p.jobs.TeamUsage(),
		claims:    p.NewClaims(),
		batches:   map[protocol.NodeName][]message.Placement{},
		waits:     map[protocol.MachineID]*waittable.UnannouncedWaits{},
		remaining: MaxPerStep,
	}
	r.claims.headroomCPUs = p.headroom() // NewClaims leaves it at 0: only placing rounds use the headroom
	p.SetLevels()
	p.expireFailedSearches()
	r.unplacedGangs = p.countUnplacedGangs()
	for _, job := range p.jobs.InPlacementOrder() {
		if !job.Loaded || job.FinishDue || job.NotBefore > p.Now || job.Pending.None() {
			continue
		}
		p.recordPlacements(r, p.placeJob(job, r))
		if r.remaining <= 0 {
			p.table.PlacementDue = true
			break
		}
	}
	p.sendPlacements(r.batches)
	p.table.AnnounceWaits(r.waits)
}

// countUnplacedGangs counts the pending gangs whose last placement attempt failed.
func (p *Placer) countUnplacedGangs() int {
	unplaced := 0
	for _, job := range p.jobs.InPlacementOrder() {
		if job.SearchFailed && !job.Pending.None() {
			unplaced++
		}
	}
	return unplaced
}

// retryInterval returns how long a gang that could not be placed is not tried again, given
// the number of such gangs. It is 0, so that each step retries them, as long as that is
// cheap, and grows with the number of gangs and the size of the fleet.
func (p *Placer) retryInterval(unplacedGangs int) time.Duration {
	return Interval * time.Duration(unplacedGangs*len(p.table.InOrder())/MaxExaminedForGangs)
}

// placeJob places the pending tasks of one job and returns the placements. It does not search
// for machines if a recorded failed search shows that there are none, or, for a gang, within
// retryInterval of its own failed search; the gang then renews its claims.
func (p *Placer) placeJob(job *jobs.Job, r *round) []message.Placement {
	job.ConfinedToHeadroom = !math.IsInf(r.claims.headroomCPUs, 1) && p.workload.WithoutObjective(&job.Job) && !p.reservations.IsReserved(&job.Job)
	maxTasks := r.remaining
	if job.ConfinedToHeadroom && p.startOverdue(job) {
		job.ConfinedToHeadroom, maxTasks = false, min(r.remaining, 1)
	}
	if job.SearchFailed && p.Since(job.SearchedAt) < p.retryInterval(r.unplacedGangs) {
		p.renewClaims(job, r.claims)
		return nil
	}
	gang := job.Kind == protocol.KindGang
	if !gang && p.searchWouldFail(job) {
		return nil
	}
	var placed []message.Placement
	examinedBefore := p.ExaminedMachines
	job.ClaimedMachines = nil
	if gang {
		placed = p.PlaceGang(job, r.usage, r.claims)
	} else {
		placed = p.placeArray(job, r.usage, maxTasks, r.claims)
	}
	job.SearchFailed, job.SearchedAt = gang && len(placed) == 0 && p.ExaminedMachines > examinedBefore, p.Now
	return placed
}

// recordPlacements adds the placements of a job to the batches and the added waits of a round.
func (p *Placer) recordPlacements(r *round, placed []message.Placement) {
	r.remaining -= len(placed)
	for _, placement := range placed {
		dispatcher := p.DispatcherOf(placement.Machine)
		r.batches[dispatcher] = append(r.batches[dispatcher], placement)
		waits := r.waits[placement.Machine]
		if waits == nil {
			waits = &waittable.UnannouncedWaits{}
			r.waits[placement.Machine] = waits
		}
		waits.CPUSeconds += placement.EstimateS * placement.CPUs
		waits.Uses.Add(resource.Level(placement.Level), placement.Need())
	}
}

// sendPlacements sends each dispatcher its placements in one Place message, and records the
// number of the message in the attempts.
func (p *Placer) sendPlacements(batches map[protocol.NodeName][]message.Placement) {
	revision := p.Configuration.Effective().Revision
	for dispatcher, tasks := range ordered.ByKey(batches) {
		peer := p.table.Peers[dispatcher]
		if peer == nil {
			continue
		}
		peer.LastPlaceNumber++
		for _, placement := range tasks {
			if job := p.jobs.ByID[placement.Task.Job]; job != nil && job.Placed[placement.Task] != nil {
				job.Placed[placement.Task].PlaceNumber = peer.LastPlaceNumber
			}
		}
		p.Send(dispatcher, message.PeerMessage{Place: &message.Place{Number: peer.LastPlaceNumber, Term: p.View.Term, Configuration: revision, Tasks: tasks}})
	}
}
