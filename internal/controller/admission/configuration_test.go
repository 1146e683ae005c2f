package admission

import (
	"fmt"
	"log/slog"
	"testing"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/dynamicconfig"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// frontend is an Admission that follows the configuration, with the actions that have
// not been executed yet.
type frontend struct {
	admission *Admission
	followed  *dynamicconfig.Followed
	seen      int // changes of the store that were followed
	pending   []Action
}

// closingTeam is several frontends of one store, while a team is closed and opened
// again.
type closingTeam struct {
	t         *rapid.T
	state     *fake.KeyValueStore
	operator  *dynamicconfig.Followed // follows at once, as it makes the changes
	frontends []*frontend
	now       clock.Time
	submitted int
	changesAt map[RequestID]int // changes of the configuration before the request
	closed    []bool            // the team, after so many changes of the configuration
	accepted  int
	refused   int
}

func newClosingTeam(t *rapid.T) *closingTeam {
	s := &config.Settings{Name: "node-0"}
	s.Site = fake.Settings().Site
	op := config.DefaultOperator()
	op.OperatorKeys = "keys"
	c := &closingTeam{
		t: t, state: fake.NewKeyValueStore(), operator: dynamicconfig.NewFollowed(&s.Site, op), now: 1,
		changesAt: map[RequestID]int{}, closed: []bool{false},
	}
	for range 2 {
		f := &frontend{admission: New(s, op, slog.New(slog.DiscardHandler)), followed: dynamicconfig.NewFollowed(&s.Site, op)}
		f.admission.Step(c.now, TypesRead{Types: []protocol.TypeInfo{{Name: "m", CPUs: 4, MemoryGB: 8, AllowZones: []protocol.Zone{"a"}}}})
		c.frontends = append(c.frontends, f)
	}
	return c
}

// step handles a message, and keeps the actions that follow.
func (c *closingTeam) step(f *frontend, msg any) {
	c.now++
	for _, a := range f.admission.Step(c.now, msg) {
		if reply, ok := a.(Reply); ok {
			c.answered(reply)
			continue
		}
		f.pending = append(f.pending, a)
	}
}

// answered checks that a submission is refused only if the team was closed at some time
// since it came.
func (c *closingTeam) answered(r Reply) {
	switch r.Answer.Status {
	case 201, 200:
		c.accepted++
	case 422:
		c.refused++
		since := c.closed[c.changesAt[r.ID]:]
		for _, closed := range since {
			if closed {
				return
			}
		}
		c.t.Fatalf("request %d is refused, and the team was open all the time", r.ID)
	}
}

// follow brings a frontend the next change of the store.
func (c *closingTeam) follow(f *frontend) {
	if f.seen >= c.state.Changes() {
		return
	}
	ev := c.state.Change(f.seen)
	f.seen++
	if takeRecord(c.t, f.followed, ev) {
		c.step(f, Configured{Effective: f.followed.Effective()})
	}
}

// takeRecord takes over a changed record, and reports whether another configuration is
// in force by it.
func takeRecord(t *rapid.T, f *dynamicconfig.Followed, ev protocol.Event) bool {
	t.Helper()
	key, known := record.ParseFollowedKey(ev.Put)
	var head record.Configuration
	var entry record.ConfigurationEntry
	switch {
	case known && key.Configuration:
		if err := protocol.Decode(ev.Value, &head); err != nil {
			t.Fatal(err)
		}
		return f.ApplyRevision(head, ev.Version)
	case known && key.ConfigurationEntry != "":
		if err := protocol.Decode(ev.Value, &entry); err != nil {
			t.Fatal(err)
		}
		return f.ApplyEntry(key.ConfigurationEntry, entry)
	}
	return false
}

// toggle closes the team, or opens it.
func (c *closingTeam) toggle() {
	closed := !c.closed[len(c.closed)-1]
	facts := &dynamicconfig.Facts{MaxChanges: 12, LiveJobs: func(protocol.Team) int { return 0 }}
	plan, err := c.operator.Decide(facts, []operatorapi.ConfigChange{{Entry: "team/free", Closed: &closed}})
	if err != nil {
		c.t.Fatal(err)
	}
	first := c.state.Changes()
	if !c.state.Txn(plan.Transaction()) {
		c.t.Fatal("not written")
	}
	for ; first < c.state.Changes(); first++ {
		takeRecord(c.t, c.operator, c.state.Change(first))
	}
	c.closed = append(c.closed, closed)
}

// submit submits a new job.
func (c *closingTeam) submit(f *frontend) {
	c.submitted++
	j := protocol.Job{ID: protocol.JobID(fmt.Sprint("job-", c.submitted)), Class: "c", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	body, err := protocol.EncodeSubmission(j)
	if err != nil {
		c.t.Fatal(err)
	}
	id := RequestID(c.submitted)
	c.changesAt[id] = len(c.closed) - 1
	c.step(f, Request{ID: id, Operation: Submit, Body: body})
}

// execute executes the oldest pending action of a frontend, and checks that a job is
// accepted only while the team is open.
func (c *closingTeam) execute(f *frontend) {
	if len(f.pending) == 0 {
		return
	}
	a := f.pending[0]
	f.pending = f.pending[1:]
	switch a := a.(type) {
	case Write:
		out := message.OutcomeFailed
		if c.state.Txn(a.Transaction) {
			out = message.OutcomeDone
			if c.closed[len(c.closed)-1] && len(a.Transaction.Changes) > 0 {
				c.t.Fatalf("request %d is accepted while the team is closed", a.ID)
			}
		}
		c.step(f, Written{ID: a.ID, Outcome: out})
	case Get:
		it, ok := c.state.Get(record.JobKey(a.Job))
		r := Read{ID: a.ID, Outcome: message.OutcomeFailed, Version: it.Version}
		if ok && protocol.Decode(it.Value, &r.Record) == nil {
			r.Outcome = message.OutcomeDone
		}
		c.step(f, r)
	case QueryOwners:
		c.step(f, OwnersAnswered{Query: a.Query})
	}
}

// TestNothingIsAcceptedWhileTeamIsClosed: a team is closed and opened at any moment
// between the steps of submissions at two controllers, which follow late. Nothing is
// accepted while it is closed, nothing is refused that could be accepted all along, and
// a controller that has followed everything has answered everything.
func TestNothingIsAcceptedWhileTeamIsClosed(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newClosingTeam(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			f := c.frontends[rapid.IntRange(0, 1).Draw(t, "at")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.toggle()
			case 1, 2:
				c.submit(f)
			case 3, 4, 5:
				c.follow(f)
			default:
				c.execute(f)
			}
		}
		for _, f := range c.frontends {
			for range 400 {
				c.follow(f)
				c.execute(f)
			}
			if n := len(f.admission.requests); n > 0 {
				t.Fatalf("%d requests have no answer", n)
			}
		}
		accepted, refused = accepted+c.accepted, refused+c.refused
	})
	if accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused: nothing was tried", accepted, refused)
	}
}
