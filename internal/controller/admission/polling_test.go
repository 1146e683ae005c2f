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

// TestPollsAreComparedTogether checks that polls that arrive together are answered by few
// requests to the store, and each by a request that started after the poll arrived. No
// answer reports a job as live if its record differs, and polls are refused while the
// store is unavailable.
func TestPollsAreComparedTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		records := map[protocol.JobID]protocol.Version{}
		followed := map[protocol.JobID]LiveJob{}
		jobs := rapid.IntRange(1, 60).Draw(t, "jobs")
		for i := range jobs {
			id := protocol.JobID(fmt.Sprint("job-", i))
			records[id] = protocol.Version(i + 1)
			switch rapid.IntRange(0, 9).Draw(t, "record") {
			case 0: // the record has changed since it was observed
				followed[id] = LiveJob{Version: records[id]}
				records[id] += 100
			case 1: // the record has not been observed
			default:
				followed[id] = LiveJob{Version: records[id], Progress: message.Progress{Job: id, Running: uint32(i)}}
			}
		}
		live := func(id protocol.JobID) bool { k, ok := followed[id]; return ok && k.Version == records[id] }
		outage, namesAll := rapid.IntRange(0, 5).Draw(t, "outage") == 0, rapid.Bool().Draw(t, "names all")
		requests, read := 0, map[protocol.JobID]bool{}
		h.queryCore = func(q QueryCore) any { return CoreAnswered{Query: q.Query, Jobs: followed} }
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
		h.get = func(g GetRecord) any {
			read[g.Job] = true
			r := RecordRead{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordDone, Tasks: 1}}
			if live(g.Job) || followed[g.Job].Version == 0 {
				r.Record.State = record.RecordLive
			}
			if outage {
				r = RecordRead{ID: g.ID, Outcome: message.OutcomeRefused}
			}
			return r
		}
		polls := rapid.IntRange(1, 150).Draw(t, "polls")
		for i := range polls {
			h.step(t, Request{ID: RequestID(i), Operation: Poll, Job: protocol.JobID(fmt.Sprint("job-", i%jobs))})
		}
		h.advance(t, requestBudget)
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
			case live(id) && (*decodeStatus(t, a).Running != followed[id].Progress.Running || namesAll && read[id]):
				t.Fatalf("live job %s: %+v, read %v", id, decodeStatus(t, a), read[id])
			case !live(id) && !read[id]:
				t.Fatalf("the record of %s, which is not an observed live job, was not read", id)
			case !live(id) && followed[id].Version != 0 && decodeStatus(t, a).State != protocol.JobDone:
				t.Fatalf("finished job %s was answered as %s", id, decodeStatus(t, a).State)
			}
		}
		// The first poll has a comparison of its own; the others arrive together.
		if limit := 2 * (polls/16 + 2); requests > limit {
			t.Fatalf("%d requests for %d polls", requests, polls)
		}
	})
}
