package dispatcher

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// lowerTeamLimit applies a configuration revision that lowers the limit of a team.
func (f *fixture) lowerTeamLimit(revision record.ConfigurationRevision, version protocol.Version) {
	id := record.NewEntryID(record.EntryTeam, "bound")
	f.dispatcher.Configuration.ApplyEntry(id, record.ConfigurationEntry{Revision: revision, Team: &record.TeamEntry{MaxCPUs: 2, Lowered: revision}})
	f.dispatcher.Configuration.ApplyRevision(record.Configuration{Revision: revision, Entries: []record.EntryID{id}}, version)
	f.dispatcher.AdoptConfiguration()
}

// placeWithRevision places a task of the limited team under a configuration revision.
func (f *fixture) placeWithRevision(id protocol.JobID, revision record.ConfigurationRevision) {
	f.addJob(id)
	f.dispatcher.Live[id].Team = "bound"
	f.dispatcher.QueuePlacements("node-0", &message.Place{Term: 1, Configuration: revision, Tasks: []message.Placement{{Task: protocol.TaskID{Job: id}, Attempt: 1, Machine: "vm-1", Epoch: 7, CPUs: 1, GB: 1}}})
}

// TestOutdatedAttemptIsNotStarted checks that an attempt placed before the limit of its
// team was lowered is not started: neither if it waits, nor if its placement arrives
// late, nor if its start was sent without an answer and would be sent again.
func TestOutdatedAttemptIsNotStarted(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	f.placeWithRevision("job-waits", 0)
	f.lowerTeamLimit(1, 5)
	f.placeWithRevision("job-late", 0)
	f.placeWithRevision("job-new", 1)
	r := f.heartbeat(1, 1)
	if n := countStarts(r.Reply.Orders); n != 1 || r.Reply.Orders[len(r.Reply.Orders)-1].Task.Job != "job-new" {
		t.Errorf("%d starts, want only that of job-new: %+v", n, r.Reply.Orders)
	}

	f = newFixture(t)
	f.registerAndSendHeartbeat()
	f.placeWithRevision("job-sent", 0)
	f.dispatcher.SendDirectCommands()
	task := protocol.TaskID{Job: "job-sent"}
	if e := f.queue().entries[task]; e == nil || !e.sent || e.directFencingToken == 0 {
		t.Fatalf("start was not sent directly: %+v", e)
	}
	f.queue().commandInFlight = 0 // the answer does not arrive
	f.dispatcher.View.Term = 2    // with a later token the start would be sent again
	f.lowerTeamLimit(1, 5)
	if n := countStarts(f.queue().buildOrders(true)); n != 0 {
		t.Errorf("%d starts were sent again, want 0", n)
	}
}
