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

// testController is an Admission that follows the stored configuration, with its pending
// actions.
type testController struct {
	admission       *Admission
	followed        *dynamicconfig.Tracker
	followedChanges int      // number of the store's changes that were followed
	pending         []Action // not executed yet
}

// closingTeamTest is the state of a test in which several controllers share one store
// while a team is closed to new jobs and opened again.
type closingTeamTest struct {
	t             *rapid.T
	store         *fake.KeyValueStore
	operator      *dynamicconfig.Tracker // the state of the operator's controller, which has no lag
	controllers   []*testController
	now           clock.Time
	submissions   int
	changesBefore map[RequestID]int // number of configuration changes before each request
	closedAfter   []bool            // whether the team is closed, by number of configuration changes
	accepted      int
	refused       int
}

func newClosingTeamTest(t *rapid.T) *closingTeamTest {
	s := &config.Settings{Name: "node-0"}
	s.Site = fake.Settings().Site
	op := config.DefaultOperator()
	op.OperatorKeys = "keys"
	c := &closingTeamTest{
		t: t, store: fake.NewKeyValueStore(), operator: dynamicconfig.NewTracker(&s.Site, op), now: 1,
		changesBefore: map[RequestID]int{}, closedAfter: []bool{false},
	}
	for range 2 {
		controller := &testController{admission: New(s, op, slog.New(slog.DiscardHandler)), followed: dynamicconfig.NewTracker(&s.Site, op)}
		controller.admission.Step(c.now, TypesRead{Types: []protocol.TypeInfo{{Name: "m", CPUs: 4, MemoryGB: 8, AllowZones: []protocol.Zone{"a"}}}})
		c.controllers = append(c.controllers, controller)
	}
	return c
}

// step has a controller handle a message, and queues the resulting actions.
func (c *closingTeamTest) step(controller *testController, msg any) {
	c.now++
	for _, a := range controller.admission.Step(c.now, msg) {
		if reply, ok := a.(Reply); ok {
			c.checkReply(reply)
			continue
		}
		controller.pending = append(controller.pending, a)
	}
}

// checkReply checks that a submission is refused only if the team was closed at some time
// after it arrived.
func (c *closingTeamTest) checkReply(r Reply) {
	switch r.Answer.Status {
	case 201, 200:
		c.accepted++
	case 422:
		c.refused++
		since := c.closedAfter[c.changesBefore[r.ID]:]
		for _, closed := range since {
			if closed {
				return
			}
		}
		c.t.Fatalf("request %d was refused, though the team was open all the time", r.ID)
	}
}

// followNextChange delivers the next change of the store to a controller.
func (c *closingTeamTest) followNextChange(controller *testController) {
	if controller.followedChanges >= c.store.Changes() {
		return
	}
	ev := c.store.Change(controller.followedChanges)
	controller.followedChanges++
	if applyRecord(c.t, controller.followed, ev) {
		c.step(controller, ConfigurationChanged{Effective: controller.followed.Effective()})
	}
}

// applyRecord applies a changed record, and reports whether the configuration in force has
// changed.
func applyRecord(t *rapid.T, followed *dynamicconfig.Tracker, ev protocol.Event) bool {
	t.Helper()
	key, known := record.ParseFollowedKey(ev.Put)
	var head record.Configuration
	var entry record.ConfigurationEntry
	switch {
	case known && key.Configuration:
		if err := protocol.Decode(ev.Value, &head); err != nil {
			t.Fatal(err)
		}
		return followed.ApplyRevision(head, ev.Version)
	case known && key.ConfigurationEntry != "":
		if err := protocol.Decode(ev.Value, &entry); err != nil {
			t.Fatal(err)
		}
		return followed.ApplyEntry(key.ConfigurationEntry, entry)
	}
	return false
}

// toggleClosed closes the team if it is open, and opens it otherwise.
func (c *closingTeamTest) toggleClosed() {
	closed := !c.closedAfter[len(c.closedAfter)-1]
	facts := &dynamicconfig.Facts{MaxChanges: 12, LiveJobs: func(protocol.Team) int { return 0 }}
	plan, err := c.operator.Decide(facts, []operatorapi.ConfigChange{{Entry: "team/free", Closed: &closed}})
	if err != nil {
		c.t.Fatal(err)
	}
	first := c.store.Changes()
	if !c.store.Execute(plan.Transaction()) {
		c.t.Fatal("the configuration change was not written")
	}
	for ; first < c.store.Changes(); first++ {
		applyRecord(c.t, c.operator, c.store.Change(first))
	}
	c.closedAfter = append(c.closedAfter, closed)
}

// submit submits a new job.
func (c *closingTeamTest) submit(controller *testController) {
	c.submissions++
	j := protocol.Job{ID: protocol.JobID(fmt.Sprint("job-", c.submissions)), Class: "c", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i"}
	body, err := protocol.EncodeSubmission(j)
	if err != nil {
		c.t.Fatal(err)
	}
	id := RequestID(c.submissions)
	c.changesBefore[id] = len(c.closedAfter) - 1
	c.step(controller, Request{ID: id, Operation: Submit, Body: body})
}

// execute executes the oldest pending action of a controller, and checks that a job is
// accepted only while the team is open.
func (c *closingTeamTest) execute(controller *testController) {
	if len(controller.pending) == 0 {
		return
	}
	a := controller.pending[0]
	controller.pending = controller.pending[1:]
	switch a := a.(type) {
	case Write:
		outcome := message.OutcomeFailed
		if c.store.Execute(a.Transaction) {
			outcome = message.OutcomeDone
			if c.closedAfter[len(c.closedAfter)-1] && len(a.Transaction.Changes) > 0 {
				c.t.Fatalf("request %d was accepted while the team was closed", a.ID)
			}
		}
		c.step(controller, Written{ID: a.ID, Outcome: outcome})
	case GetRecord:
		it, ok := c.store.Get(record.JobKey(a.Job))
		r := RecordRead{ID: a.ID, Outcome: message.OutcomeFailed, Version: it.Version}
		if ok && protocol.Decode(it.Value, &r.Record) == nil {
			r.Outcome = message.OutcomeDone
		}
		c.step(controller, r)
	case QueryCore:
		c.step(controller, CoreAnswered{Query: a.Query})
	}
}

// TestClosedTeamAcceptsNothingAndOpenTeamRefusesNothing closes and opens a team at any moment
// between the steps of submissions to two controllers, which observe the change late. No job is
// accepted while the team is closed, none is refused if the team was open all the time, and a
// controller that has followed all changes has no unanswered request.
func TestClosedTeamAcceptsNothingAndOpenTeamRefusesNothing(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newClosingTeamTest(t)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			controller := c.controllers[rapid.IntRange(0, 1).Draw(t, "at")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.toggleClosed()
			case 1, 2:
				c.submit(controller)
			case 3, 4, 5:
				c.followNextChange(controller)
			default:
				c.execute(controller)
			}
		}
		for _, controller := range c.controllers {
			for range 400 {
				c.followNextChange(controller)
				c.execute(controller)
			}
			if n := len(controller.admission.requests); n > 0 {
				t.Fatalf("%d requests are unanswered", n)
			}
		}
		accepted, refused = accepted+c.accepted, refused+c.refused
	})
	if accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused: one of the cases was not tested", accepted, refused)
	}
}
