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

// entrance is an intake that follows the configuration, with what it has asked for.
type entrance struct {
	in       *Admission
	followed *dynamicconfig.Followed
	seen     int // changes of the state service
	asked    []Action
}

// closing is several intakes in front of one state service, while a team is closed and
// opened again.
type closing struct {
	t         *rapid.T
	state     *fake.State
	operator  *dynamicconfig.Followed // who changes the configuration follows at once
	all       []*entrance
	now       clock.Time
	submitted int
	askedAt   map[RequestID]int // changes of the configuration until then
	team      []bool            // closed, after so many changes of the configuration
	accepted  int
	refused   int
}

func newClosing(t *rapid.T) *closing {
	s := &config.Settings{Name: "node-0"}
	s.Site = fake.Settings().Site
	op := config.DefaultOperator()
	op.OperatorKeys = "keys"
	c := &closing{t: t, state: fake.NewState(), operator: dynamicconfig.NewFollowed(&s.Site, op), now: 1, askedAt: map[RequestID]int{}, team: []bool{false}}
	for range 2 {
		e := &entrance{in: New(s, op, slog.New(slog.DiscardHandler)), followed: dynamicconfig.NewFollowed(&s.Site, op)}
		e.in.Step(c.now, TypesRead{Types: []protocol.TypeInfo{{Name: "m", CPUs: 4, MemoryGB: 8, AllowZones: []protocol.Zone{"a"}}}})
		c.all = append(c.all, e)
	}
	return c
}

// step gives an intake a message, and keeps what it asks for.
func (c *closing) step(e *entrance, msg any) {
	c.now++
	for _, a := range e.in.Step(c.now, msg) {
		if reply, ok := a.(Reply); ok {
			c.answered(reply)
			continue
		}
		e.asked = append(e.asked, a)
	}
}

// answered: a submission is refused only if the team was closed at some time since it
// was asked for.
func (c *closing) answered(r Reply) {
	switch r.Answer.Status {
	case 201, 200:
		c.accepted++
	case 422:
		c.refused++
		since := c.team[c.askedAt[r.ID]:]
		for _, closed := range since {
			if closed {
				return
			}
		}
		c.t.Fatalf("request %d is refused, and the team was open all the time", r.ID)
	}
}

// watchRecords brings an intake the next change.
func (c *closing) follow(e *entrance) {
	if e.seen >= c.state.Changes() {
		return
	}
	ev := c.state.Change(e.seen)
	e.seen++
	if takeRecord(c.t, e.followed, ev) {
		c.step(e, Configured{Effective: e.followed.Effective()})
	}
}

func takeRecord(t *rapid.T, f *dynamicconfig.Followed, ev protocol.Event) bool {
	key, known := record.ParseFollowedKey(ev.Put)
	var head record.Configuration
	var entry record.ConfigurationEntry
	switch {
	case known && key.Configuration:
		if err := protocol.Decode(ev.Value, &head); err != nil {
			t.Fatal(err)
		}
		return f.TakeHead(head, ev.Version)
	case known && key.ConfigurationEntry != "":
		if err := protocol.Decode(ev.Value, &entry); err != nil {
			t.Fatal(err)
		}
		return f.TakeEntry(key.ConfigurationEntry, entry)
	}
	return false
}

// toggle closes the team, or opens it.
func (c *closing) toggle() {
	closed := !c.team[len(c.team)-1]
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
	c.team = append(c.team, closed)
}

// submit submits a job.
func (c *closing) submit(e *entrance) {
	c.submitted++
	j := protocol.Job{ID: protocol.JobID(fmt.Sprint("job-", c.submitted)), Class: "c", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	body, err := protocol.EncodeSubmission(j)
	if err != nil {
		c.t.Fatal(err)
	}
	id := RequestID(c.submitted)
	c.askedAt[id] = len(c.team) - 1
	c.step(e, Request{ID: id, Operation: Submit, Body: body})
}

// carryOut carries out the first thing that an intake asked for. A job's record is
// written only while the team is open.
func (c *closing) carryOut(e *entrance) {
	if len(e.asked) == 0 {
		return
	}
	a := e.asked[0]
	e.asked = e.asked[1:]
	switch a := a.(type) {
	case Write:
		out := message.OutcomeFailed
		if c.state.Txn(a.Txn) {
			out = message.OutcomeDone
			if c.team[len(c.team)-1] && len(a.Txn.Changes) > 0 {
				c.t.Fatalf("request %d is accepted while the team is closed", a.ID)
			}
		}
		c.step(e, Written{ID: a.ID, Outcome: out})
	case Get:
		it, ok := c.state.Get(record.JobKey(a.Job))
		r := Read{ID: a.ID, Outcome: message.OutcomeFailed, Version: it.Version}
		if ok && protocol.Decode(it.Value, &r.Record) == nil {
			r.Outcome = message.OutcomeDone
		}
		c.step(e, r)
	case QueryOwners:
		c.step(e, OwnersAnswered{Query: a.Look})
	}
}

// TestClosedWhileAccepted: a team is closed and opened at any moment between the steps
// reservation submissions at two controllers, which follow late. Nothing is accepted while it is
// closed, nothing is refused that could be taken all along, and who follows answers.
func TestClosedWhileAccepted(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newClosing(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			e := c.all[rapid.IntRange(0, 1).Draw(t, "at")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.toggle()
			case 1, 2:
				c.submit(e)
			case 3, 4, 5:
				c.follow(e)
			default:
				c.carryOut(e)
			}
		}
		for _, e := range c.all {
			for range 400 {
				c.follow(e)
				c.carryOut(e)
			}
			if n := len(e.in.requests); n > 0 {
				t.Fatalf("%d requests have no answer", n)
			}
		}
		accepted, refused = accepted+c.accepted, refused+c.refused
	})
	if accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused: nothing was tried", accepted, refused)
	}
}
