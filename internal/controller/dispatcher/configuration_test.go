package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// lowerLimit has the limit of a team lowered by a revision.
func (b *bench) lowerLimit(revision record.ConfigurationRevision, version protocol.Version) {
	id := record.NewEntryID(record.EntryTeam, "bound")
	b.dispatcher.Configuration.ApplyEntry(id, record.ConfigurationEntry{Revision: revision, Team: &record.TeamEntry{MaxCPUs: 2, Lowered: revision}})
	b.dispatcher.Configuration.ApplyRevision(record.Configuration{Revision: revision, Entries: []record.EntryID{id}}, version)
	b.dispatcher.AdoptConfiguration()
}

// placeBy queues a task of the limited team, placed by a revision.
func (b *bench) placeBy(id protocol.JobID, revision record.ConfigurationRevision) {
	b.job(id)
	b.dispatcher.Live[id].Team = "bound"
	b.dispatcher.Place("node-0", &message.Place{Term: 1, Configuration: revision, Tasks: []message.Placement{{Task: protocol.TaskID{Job: id}, Attempt: 1, Machine: "vm-1", Epoch: 7, CPUs: 1, GB: 1}}})
}

// TestOutdatedIsNotStarted: what was placed before its team's limit was lowered is not
// started, whether it waits, comes late, or its start has gone out without an answer
// and would be sent again.
func TestOutdatedIsNotStarted(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.placeBy("job-waits", 0)
	b.lowerLimit(1, 5)
	b.placeBy("job-late", 0)
	b.placeBy("job-new", 1)
	r := b.heartbeat(1, 1)
	if n := starts(r.Reply.Orders); n != 1 || r.Reply.Orders[len(r.Reply.Orders)-1].Task.Job != "job-new" {
		t.Errorf("%d starts: %+v", n, r.Reply.Orders)
	}

	b = newBench(t)
	b.ready()
	b.placeBy("job-sent", 0)
	b.dispatcher.SendDirectCommands()
	task := protocol.TaskID{Job: "job-sent"}
	if e := b.queue().entries[task]; e == nil || !e.sent || e.directFencingToken == 0 {
		t.Fatalf("not sent directly: %+v", e)
	}
	b.queue().directInFlight = false // its answer does not come
	b.dispatcher.View.Term = 2       // a later token: it would be sent again
	b.lowerLimit(1, 5)
	if n := starts(b.queue().buildOrders(1, true)); n != 0 {
		t.Errorf("%d starts are sent again", n)
	}
}
