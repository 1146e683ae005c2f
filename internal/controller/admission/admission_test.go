package admission

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// shell plays the actor around an intake: what it asks for is answered by the given
// functions, at once unless they return nil.
type shell struct {
	in      *Admission
	now     clock.Time
	answers map[RequestID]Answer
	get     func(Get) any
	write   func(Write) any
	look    func(QueryOwners) any
	compare func(Compare) any
	passOn  func(PassOn) any
	halt    func(Announce) any
}

func newShell(txnOps int) *shell {
	s := &config.Settings{Name: "node-0", Members: []config.Member{{Name: "node-1"}, {Name: "node-2"}}}
	s.Site.Count, s.Site.State = 3, config.State{RPS: 6000, WriteRPS: 2000, TxnOps: txnOps}
	s.Site.Teams = []config.Team{{Name: "free"}, {Name: "bound", MaxCPUs: 4}}
	return &shell{in: New(s, config.DefaultOperator(), slog.New(slog.DiscardHandler)), now: 1, answers: map[RequestID]Answer{}}
}

// step gives the intake a message, and all that follows from it.
func (s *shell) step(t interface{ Fatalf(string, ...any) }, msg any) {
	for left := []any{msg}; len(left) > 0; left = left[1:] {
		for _, a := range s.in.Step(s.now, left[0]) {
			var next any
			switch a := a.(type) {
			case Reply:
				if _, twice := s.answers[a.ID]; twice {
					t.Fatalf("request %d is answered twice", a.ID)
				}
				s.answers[a.ID] = a.Answer
			case Get:
				next = s.get(a)
			case Write:
				next = s.write(a)
			case QueryOwners:
				next = s.look(a)
			case Compare:
				next = s.compare(a)
			case PassOn:
				next = s.passOn(a)
			case Announce:
				next = s.halt(a)
			}
			if next != nil {
				left = append(left, next)
			}
		}
	}
}

// pass lets time pass, with ticks.
func (s *shell) pass(t interface{ Fatalf(string, ...any) }, d time.Duration) {
	for end := s.now + clock.Time(d); s.now < end; {
		s.now += clock.Time(10 * time.Millisecond)
		s.step(t, Tick{})
	}
}

func status(t interface{ Fatalf(string, ...any) }, a Answer) protocol.JobStatus {
	var s protocol.JobStatus
	if err := protocol.Decode(a.Body, &s); err != nil {
		t.Fatalf("body of %d: %v", a.Status, err)
	}
	return s
}

// TestPollsTogether: polls that come together are answered by few requests, each by
// one that began after it came; nobody is told that a job is live whose record
// differs, and what can't be asked is refused.
func TestPollsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShell(4)
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
		s.look = func(l QueryOwners) any { return OwnersAnswered{Query: l.Look, Jobs: known} }
		s.compare = func(c Compare) any {
			requests++
			out := Compared{Look: c.Look, Outcome: message.OutcomeDone}
			if len(c.Conditions) > 16 {
				t.Fatalf("%d conditions", len(c.Conditions))
			}
			if outage {
				out.Outcome = message.OutcomeRefused
				return out
			}
			for id, v := range records {
				if slices.ContainsFunc(c.Conditions, func(c protocol.Condition) bool { return c.Key == record.JobKey(id) && c.Version != v }) && (namesAll || len(out.Differ) == 0) {
					out.Differ, out.Outcome = append(out.Differ, record.JobKey(id)), message.OutcomeFailed
				}
			}
			return out
		}
		s.get = func(g Get) any {
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
			s.step(t, Request{ID: RequestID(i), Operation: Poll, Job: protocol.JobID(fmt.Sprint("job-", i%jobs))})
		}
		s.pass(t, budget)
		for i := range polls {
			id := protocol.JobID(fmt.Sprint("job-", i%jobs))
			a, ok := s.answers[RequestID(i)]
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
				t.Fatalf("%s, which is over, is told to be %s", id, status(t, a).State)
			}
		}
		// The first poll is answered by itself; the others come together.
		if most := 2 * (polls/16 + 2); requests > most {
			t.Fatalf("%d requests for %d polls", requests, polls)
		}
	})
}

// submission is what a user sends, with a field left out or changed.
func submission(t *testing.T, id string, change func(map[string]any)) []byte {
	m := map[string]any{
		"id": id, "berth": "train", "crew": "free", "rig": "batch", "tide": "high", "hauls": 2, "cores": 1.0, "gpus": 0.0, "memory_gb": 1.0,
		"hullcast": "img", "image_gb": 1.0, "hulls": nil, "quay": nil, "together": false, "scatter": false, "driftstock": true,
		"passage_s": 10.0, "logmark_s": 0.0, "stow_s": 0.0, "landfall_s": nil,
	}
	if change != nil {
		change(m)
	}
	b, err := protocol.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var smallType = TypesRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16}}}

// TestPassOn: what this controller can't take one peer that acts is asked once, and
// its answer given back as it is; without an answer the user is told to come back,
// never that the job was accepted.
func TestPassOn(t *testing.T) {
	for _, tc := range []struct {
		name   string
		acting []protocol.NodeName
		reply  Answer
		silent bool
		asked  int
		status int
	}{
		{"nobody acts", nil, Answer{Status: 201}, false, 0, 503},
		{"accepted", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 201, Body: []byte("yes")}, false, 1, 201},
		{"refused", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 422}, false, 1, 422},
		{"refused there, too", []protocol.NodeName{"node-1", "node-2"}, Answer{Status: 503, RetryAfterS: 2}, false, 1, 503},
		{"no answer", []protocol.NodeName{"node-1"}, Answer{Status: 201}, true, 1, 503},
		{"an empty answer", []protocol.NodeName{"node-1"}, Answer{}, false, 1, 503},
		{"one not known", []protocol.NodeName{"node-9"}, Answer{Status: 201}, false, 0, 503},
	} {
		s := newShell(4)
		asked := 0
		body := submission(t, "job-000001", nil)
		s.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeRefused} }
		s.look = func(l QueryOwners) any { return OwnersAnswered{Query: l.Look, Leading: tc.acting} }
		s.passOn = func(p PassOn) any {
			if asked++; p.To != "node-1" || string(p.Body) != string(body) {
				t.Errorf("%s: asked %v", tc.name, p)
			}
			if tc.silent {
				return nil
			}
			return PassedOn{ID: p.ID, Answer: tc.reply}
		}
		s.step(t, smallType)
		s.step(t, Request{ID: 1, Operation: Submit, Body: body})
		s.pass(t, budget)
		m := s.answers[1]
		if asked != tc.asked || m.Status != tc.status {
			t.Errorf("%s: %d asked, answer %d, want %d and %d", tc.name, asked, m.Status, tc.asked, tc.status)
		}
		if m.Status == 503 && m.RetryAfterS == 0 {
			t.Errorf("%s: not said when to come back", tc.name)
		}
		if m.Status == 201 && string(m.Body) != string(tc.reply.Body) {
			t.Errorf("%s: body %q", tc.name, m.Body)
		}
	}
	s := newShell(4)
	s.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeRefused} }
	s.step(t, smallType)
	s.step(t, Request{ID: 1, Operation: Submit, Body: submission(t, "job-000001", nil), Passed: true}) // would fail for want of look
	if s.answers[1].Status != 503 {
		t.Error("passed on twice")
	}
}

// TestToldOnceAllHaveHeard: a user is told that a job is cancelled, by whatever
// request, only when all controllers that may act have heard of it, or have had their
// time; nobody waits for one that the view leaves out.
func TestToldOnceAllHaveHeard(t *testing.T) {
	for _, op := range []Operation{Submit, Poll, Cancel} {
		s := newShell(4)
		members := []protocol.NodeName{"node-0", "node-1", "node-2"}
		var silent protocol.NodeName
		var told []protocol.NodeName
		s.look = func(l QueryOwners) any { return OwnersAnswered{Query: l.Look, Members: members} }
		s.get = func(g Get) any {
			return Read{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordCancelled, Tasks: 2}}
		}
		s.write = func(w Write) any { return Written{ID: w.ID, Outcome: message.OutcomeFailed} }
		s.halt = func(h Announce) any {
			told = append(told, h.To)
			if h.To == silent {
				return nil
			}
			return Announced{Job: h.Job, By: h.To}
		}
		s.step(t, smallType)
		ask := func(id RequestID, job string) time.Duration {
			t.Helper()
			from := s.now
			s.step(t, Request{ID: id, Operation: op, Job: protocol.JobID(job), Body: submission(t, job, nil)})
			for range 100 {
				if _, ok := s.answers[id]; ok {
					break
				}
				s.pass(t, 10*time.Millisecond)
			}
			if a := s.answers[id]; a.Status != 200 || status(t, a).State != protocol.JobCancelled {
				t.Fatalf("operation %d: %+v", op, a)
			}
			return time.Duration(s.now - from)
		}
		if d := ask(1, "job-000001"); d >= AnnounceWait {
			t.Errorf("operation %d: told after %v, though all have heard", op, d)
		}
		if slices.Sort(told); !slices.Equal(told, members) {
			t.Errorf("operation %d: %v are told", op, told)
		}
		silent = "node-2"
		if d := ask(2, "job-000002"); d < AnnounceWait {
			t.Errorf("operation %d: told after %v, though one has not heard", op, d)
		}
		members = members[:2]
		if d := ask(3, "job-000003"); d >= AnnounceWait {
			t.Errorf("operation %d: waited %v for one that can't act", op, d)
		}
		members = nil // not known: any may act
		if d := ask(4, "job-000004"); d < AnnounceWait {
			t.Errorf("operation %d: told after %v, though one that may act has not heard", op, d)
		}
		told = nil
		if ask(5, "job-000004"); len(told) > 0 {
			t.Errorf("operation %d: %v are told once more", op, told)
		}
	}
}

// TestAnswerLost: where a transaction is carried out and its answer is lost, or late,
// the record tells the user soon; where it is not carried out, nothing is said before
// its answer comes, and no later answer is given to the same request.
func TestAnswerLost(t *testing.T) {
	for _, op := range []Operation{Submit, Cancel} {
		for _, done := range []bool{true, false} {
			s := newShell(4)
			live := record.JobRecord{State: record.RecordLive, Tasks: 2}
			found, wrote := &live, RequestID(0)
			if op == Submit {
				found = nil
			}
			s.look = func(l QueryOwners) any { return OwnersAnswered{Query: l.Look, Members: []protocol.NodeName{"node-0"}} }
			s.halt = func(h Announce) any { return Announced{Job: h.Job, By: h.To} }
			s.get = func(g Get) any {
				if found == nil {
					return Read{ID: g.ID, Outcome: message.OutcomeFailed}
				}
				return Read{ID: g.ID, Outcome: message.OutcomeDone, Record: *found, Version: 7}
			}
			s.write = func(w Write) any {
				wrote = w.ID
				if done && op == Submit {
					found = &live
				} else if done {
					found = &record.JobRecord{State: record.RecordCancelled, Tasks: 2}
				}
				return nil
			}
			s.step(t, smallType)
			s.step(t, Request{ID: 1, Operation: op, Job: "job-000001", Body: submission(t, "job-000001", nil)})
			s.pass(t, answerWithin+20*time.Millisecond)
			a, told := s.answers[1]
			if told != done {
				t.Errorf("operation %d, carried out %v: told %v: %+v", op, done, told, a)
			}
			s.step(t, Written{ID: wrote, Outcome: message.OutcomeDone}) // in the end
			if a := s.answers[1]; a.Status != 200 && a.Status != 201 {
				t.Errorf("operation %d, carried out %v: %+v", op, done, a)
			}
		}
	}
}

// TestBadSubmissions: what lacks a field or can't run is refused, unless its job is
// known; nothing is refused by a controller that can't tell.
func TestBadSubmissions(t *testing.T) {
	set := func(k string, v any) func(map[string]any) { return func(m map[string]any) { m[k] = v } }
	cases := map[string]struct {
		body   []byte
		status int
	}{
		"not CBOR":              {[]byte{0xff, 1}, 400},
		"empty":                 {nil, 400},
		"no id":                 {submission(t, "", nil), 400},
		"unknown team":          {submission(t, "job-000001", set("crew", "nobody")), 422},
		"fits no machine":       {submission(t, "job-000001", set("cores", 5.0)), 422},
		"of no type":            {submission(t, "job-000001", set("hulls", []string{"huge"})), 422},
		"beyond the team's":     {submission(t, "job-000001", func(m map[string]any) { m["crew"], m["rig"], m["hauls"], m["cores"] = "bound", "gang", 3, 2.0 }), 422},
		"an array in the limit": {submission(t, "job-000001", func(m map[string]any) { m["crew"], m["hauls"], m["cores"] = "bound", 3, 2.0 }), 201},
	}
	for _, field := range []string{"berth", "crew", "rig", "tide", "hauls", "cores", "gpus", "memory_gb", "hullcast", "image_gb", "together", "scatter", "driftstock", "passage_s", "logmark_s", "stow_s"} {
		cases["without "+field] = struct {
			body   []byte
			status int
		}{submission(t, "job-000001", func(m map[string]any) { delete(m, field) }), 400}
	}
	for name, tc := range cases {
		for _, known := range []bool{false, true} {
			for _, outage := range []bool{false, true} {
				s := newShell(4)
				s.step(t, smallType)
				s.look = func(l QueryOwners) any { return OwnersAnswered{Query: l.Look} }
				s.get = func(g Get) any {
					r := Read{ID: g.ID, Outcome: message.OutcomeFailed}
					switch {
					case outage:
						r.Outcome = message.OutcomeRefused
					case known:
						r = Read{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordLive, Tasks: 2}}
					}
					return r
				}
				s.write = func(w Write) any {
					out := message.OutcomeDone
					if outage {
						out = message.OutcomeRefused
					} else if known {
						out = message.OutcomeFailed
					}
					return Written{ID: w.ID, Outcome: out}
				}
				s.step(t, Request{ID: 1, Operation: Submit, Body: tc.body})
				want := tc.status
				if _, named := protocol.SubmittedID(tc.body); named && outage {
					want = 503
				} else if named && known {
					want = 200
				}
				if got := s.answers[1].Status; got != want {
					t.Errorf("%s, known %v, outage %v: %d, want %d", name, known, outage, got, want)
				}
			}
		}
	}
}
