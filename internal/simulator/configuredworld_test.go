package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxStartDelay is how long after the command a task may start on its machine: fetching its
// image takes a second, and messages take a fraction of a second.
const maxStartDelay = 1500 * time.Millisecond

// configuredWorld is a world whose configuration changes while it runs. Starts on workers
// are checked against the limits that were in force.
type configuredWorld struct {
	*world
	commits        map[dynamicconfig.Revision]time.Duration // when each revision was committed
	limits         map[protocol.Team][]limitSince
	scannedChanges int // changes of the key-value store scanned by recordCommits
	// maxApplyDelay is the longest time that a controller took to apply a revision, apart
	// from controllers that restarted or were paused since the revision was committed.
	maxApplyDelay time.Duration
	requests      int
	unsettled     int // requests without an outcome
}

// limitSince is a limit and the time at which it was committed.
type limitSince struct {
	at   time.Duration
	cpus float64
}

// newConfiguredWorld returns a busy world with two teams that are always at their limits of
// 60 processors. The controllers follow configuration changes, except for olderNodes, which
// are of an earlier version.
func newConfiguredWorld(t *testing.T, seed uint64, machines int, olderNodes ...int) *configuredWorld {
	t.Helper()
	const controllers = 3
	s := fake.Settings()
	s.Site.Count = controllers
	s.Site.Teams = []config.Team{{Name: "free"}, {Name: "bound", CPUs: 8, MaxCPUs: 60}, {Name: "other", CPUs: 8, MaxCPUs: 60}}
	w := &configuredWorld{
		world: newWorld(t.Fatalf, seed, s, machines, machines), commits: map[dynamicconfig.Revision]time.Duration{},
		limits: map[protocol.Team][]limitSince{"bound": {{0, 60}}, "other": {{0, 60}}},
	}
	w.operator.OperatorKeys = "keys"
	w.layout = record.LayoutConfiguration
	for i, n := range w.nodes {
		if !slices.Contains(olderNodes, i) {
			n.layout = w.layout
		}
	}
	w.runTime = func(protocol.TaskID) time.Duration { return time.Duration(8000+w.rng.IntN(8000)) * time.Millisecond }
	w.teamLimit = w.highestLimitInForce
	w.onOrders = w.checkOrders
	w.onConfiguration = func(n *node, e *dynamicconfig.Effective) {
		w.recordCommits()
		if at, known := w.commits[e.Revision]; known && n.startedAt < at && n.pausedUntil < at {
			w.maxApplyDelay = max(w.maxApplyDelay, w.now-at)
		}
	}
	w.run(3 * time.Second)
	w.runAtLimits(12 * time.Second)
	return w
}

// runAtLimits runs for the duration d and submits enough jobs to keep both teams at their
// limits, in addition to jobs of another team.
func (w *configuredWorld) runAtLimits(d time.Duration) {
	for end := w.now + d; w.now < end; {
		for _, team := range []protocol.Team{"bound", "other", "free"} {
			w.submit(protocol.Job{Class: "array", Team: team, Kind: protocol.KindJobArray, Priority: "standard", Tasks: 10, CPUs: 1, EstimateS: 12, Spot: true})
		}
		w.run(w.now + time.Second)
	}
}

// recordCommits records the revisions that were committed to the key-value store, and the
// limits of teams in them.
func (w *configuredWorld) recordCommits() {
	for ; w.scannedChanges < w.state.Changes(); w.scannedChanges++ {
		e := w.state.Change(w.scannedChanges)
		at := w.now
		if i := w.scannedChanges - w.state.CompactedChanges; i < len(w.changeTimes) {
			at = w.changeTimes[i]
		}
		followed, _ := record.ParseFollowedKey(e.Put)
		var head record.Configuration
		var entry record.ConfigurationEntry
		switch team, isTeam := record.TeamOf(followed.ConfigurationEntry); {
		case followed.Configuration && protocol.Decode(e.Value, &head) == nil:
			w.commits[head.Revision] = at
		case isTeam && protocol.Decode(e.Value, &entry) == nil && entry.Team != nil:
			w.limits[team] = append(w.limits[team], limitSince{at, entry.Team.MaxCPUs})
		}
	}
}

// highestLimitInForce returns the highest limit of a team, in processors, that a controller
// may have applied to a task that starts on its machine now: the current limit and those
// replaced at most config.ConfigPropagationLimit plus maxStartDelay ago.
func (w *configuredWorld) highestLimitInForce(team protocol.Team) float64 {
	w.recordCommits()
	since := w.now - config.ConfigPropagationLimit - maxStartDelay
	highest := 0.0
	for i, l := range w.limits[team] {
		if i+1 < len(w.limits[team]) && w.limits[team][i+1].at < since {
			continue // replaced earlier
		}
		highest = max(highest, l.cpus)
	}
	return highest
}

// checkOrders checks that a controller that sends orders does not apply a revision that was
// replaced more than config.ConfigPropagationLimit ago.
func (w *configuredWorld) checkOrders(n *node, orders []protocol.Order) {
	w.recordCommits()
	revision := n.core.ConfigurationInForce().Revision
	if at, replaced := w.commits[revision+1]; replaced && w.now-at > config.ConfigPropagationLimit && len(orders) > 0 {
		w.fail("%v %s sends orders by revision %d, replaced %v ago", w.now, n.name, revision, w.now-at)
	}
}

// requestChange requests a configuration change as the operators' command does: it tries one
// controller first and then the others, with the same request id, until the request is
// executed or rejected, and passes the reply to done.
func (w *configuredWorld) requestChange(first int, done func(operatorapi.Reply), changes ...operatorapi.ConfigChange) {
	w.requests++
	w.unsettled++
	r := operatorapi.Request{Op: operatorapi.OpConfigure, ID: fmt.Sprint("request-", w.requests), Config: &operatorapi.ConfigRequest{Changes: changes}}
	settled := false
	var try func(at int)
	try = func(at int) {
		n := w.nodes[at%len(w.nodes)]
		concluded, retry := 0, func(at int, after time.Duration) { w.after(after, func() { try(at) }) }
		if settled {
			return
		}
		if n.core == nil || w.now < n.pausedUntil {
			retry(at+1, 300*time.Millisecond)
			return
		}
		settle := func(reply operatorapi.Reply) {
			if !settled {
				settled = true
				w.unsettled--
				done(reply)
			}
		}
		request := r
		reply, txn := n.core.DecideOperatorRequest("ops", &request)
		switch {
		case txn == nil && reply.Code == operatorapi.RetryLater:
			retry(at+1, 300*time.Millisecond)
			return
		case txn == nil:
			settle(reply)
			return
		}
		n.transact(*txn, func(out message.Outcome, _ protocol.Revision) {
			if concluded++; out == message.OutcomeDone {
				settle(reply)
				return
			}
			if concluded == 1 {
				retry(at, 100*time.Millisecond)
			}
		})
		w.after(4*time.Second, func() {
			if concluded == 0 { // the controller has crashed or is paused
				concluded++
				try(at + 1)
			}
		})
	}
	try(first)
}

// requestLimit requests a change of a team's limit to cpus processors. A rejection is a
// violation.
func (w *configuredWorld) requestLimit(first int, team string, cpus float64) {
	w.requestChange(first, func(reply operatorapi.Reply) {
		if reply.Code != operatorapi.Done {
			w.fail("%v limit of %s to %v: %+v", w.now, team, cpus, reply)
		}
	}, operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntryTeam, team), MaxCPUs: &cpus})
}

// expectRevisionInForce reports an error unless every running controller applies the revision,
// every request has got its outcome, and as many revisions were committed as its number says,
// so that each request was executed once.
func (w *configuredWorld) expectRevisionInForce(t *testing.T, revision dynamicconfig.Revision) {
	t.Helper()
	w.recordCommits()
	if len(w.commits) != int(revision) || w.unsettled > 0 {
		t.Errorf("%d revisions, want %d; %d requests are not settled", len(w.commits), revision, w.unsettled)
	}
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if got := n.core.ConfigurationInForce().Revision; got != revision {
			t.Errorf("%s applies revision %d, want %d", n.name, got, revision)
		}
	}
}

// usedCPUs returns the processors that the tasks of a team use.
func (w *configuredWorld) usedCPUs(team protocol.Team) (cpus float64) {
	for task := range w.onMachine {
		if j := w.jobs[task.Job]; j.Team == team {
			cpus += j.CPUs
		}
	}
	return cpus
}
