package admission

import (
	"fmt"
	"slices"
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// TestPollsAreComparedTogether: polls that come together are answered by few requests to
// the store, each by one that began after the poll came. No answer says that a job is
// live whose record differs, and a poll is refused while the store is out.
func TestPollsAreComparedTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		records := map[protocol.JobID]protocol.Version{}
		known := map[protocol.JobID]LiveJob{}
		jobs := rapid.IntRange(1, 60).Draw(t, "jobs")
		for i := range jobs {
			id := protocol.JobID(fmt.Sprint("job-", i))
			records[id] = protocol.Version(i + 1)
			switch rapid.IntRange(0, 9).Draw(t, "record") {
			case 0: // ended since
				known[id] = LiveJob{Version: records[id]}
				records[id] += 100
			case 1: // its record has not arrived here
			default:
				known[id] = LiveJob{Version: records[id], Progress: message.Progress{Job: id, Running: uint32(i)}}
			}
		}
		live := func(id protocol.JobID) bool { k, ok := known[id]; return ok && k.Version == records[id] }
		outage, namesAll := rapid.IntRange(0, 5).Draw(t, "outage") == 0, rapid.Bool().Draw(t, "names all")
		requests, read := 0, map[protocol.JobID]bool{}
		h.queryOwners = func(q QueryOwners) any { return OwnersAnswered{Query: q.Query, Jobs: known} }
		h.compare = func(c Compare) any {
			requests++
			out := Compared{Query: c.Query, Outcome: message.OutcomeDone}
			if len(c.Conditions) > 16 {
				t.Fatalf("%d conditions", len(c.Conditions))
			}
			if outage {
				out.Outcome = message.OutcomeRefused
				return out
			}
			for id, v := range records {
				if slices.ContainsFunc(c.Conditions, func(c protocol.Condition) bool { return c.Key == record.JobKey(id) && c.Version != v }) && (namesAll || len(out.Differing) == 0) {
					out.Differing, out.Outcome = append(out.Differing, record.JobKey(id)), message.OutcomeFailed
				}
			}
			return out
		}
		h.get = func(g Get) any {
			read[g.Job] = true
			r := Read{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordDone, Tasks: 1}}
			if live(g.Job) || known[g.Job].Version == 0 {
				r.Record.State = record.RecordLive
			}
			if outage {
				r = Read{ID: g.ID, Outcome: message.OutcomeRefused}
			}
			return r
		}
		polls := rapid.IntRange(1, 150).Draw(t, "polls")
		for i := range polls {
			h.step(t, Request{ID: RequestID(i), Operation: Poll, Job: protocol.JobID(fmt.Sprint("job-", i%jobs))})
		}
		h.pass(t, requestBudget)
		for i := range polls {
			id := protocol.JobID(fmt.Sprint("job-", i%jobs))
			a, ok := h.answers[RequestID(i)]
			switch {
			case !ok:
				t.Fatalf("%s: no answer", id)
			case outage && (a.Status != 503 || a.RetryAfterS == 0):
				t.Fatalf("%s in an outage: %+v", id, a)
			case outage:
			case a.Status != 200:
				t.Fatalf("%s: %+v", id, a)
			case live(id) && (*status(t, a).Running != known[id].Progress.Running || namesAll && read[id]):
				t.Fatalf("%s, which is live: %+v, read %v", id, status(t, a), read[id])
			case !live(id) && !read[id]:
				t.Fatalf("%s, which is not known to be live, is not read", id)
			case !live(id) && known[id].Version != 0 && status(t, a).State != protocol.JobDone:
				t.Fatalf("%s, which is over, is answered as %s", id, status(t, a).State)
			}
		}
		// The first poll is answered by itself; the others come together.
		if most := 2 * (polls/16 + 2); requests > most {
			t.Fatalf("%d requests for %d polls", requests, polls)
		}
	})
}
