package dynamicconfig

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

func number(v float64) *float64 { return &v }
func flag(v bool) *bool         { return &v }
func setting(v string) *record.SettingText {
	text := record.SettingText(v)
	return &text
}

// site is a deployment with a team without a limit and two with one.
func site() *config.Site {
	s := fake.Settings().Site
	s.Teams = append(s.Teams, config.Team{Name: "other", CPUs: 4, MaxCPUs: 20})
	return &s
}

func facts() *Facts {
	return &Facts{Zones: []protocol.Zone{"a", "b"}, Types: []protocol.MachineType{"small"}, LiveJobs: func(protocol.Team) int { return 0 }, MaxChanges: 12}
}

// store is a state service with the records of the configuration, and who follows them.
type store struct {
	state *fake.State
	*Followed
	seen int
}

func newStore() *store {
	return &store{state: fake.NewState(), Followed: NewFollowed(site(), config.DefaultOperator())}
}

// write decides a change, writes it and follows it.
func (s *store) write(t interface{ Fatalf(string, ...any) }, changes ...operatorapi.ConfigChange) *Plan {
	plan, err := s.Decide(facts(), changes)
	if err != nil {
		t.Fatalf("%+v: %v", changes, err)
	}
	if !s.state.Txn(plan.Transaction()) {
		t.Fatalf("%+v: not written", changes)
	}
	for ; s.seen < s.state.Changes(); s.seen++ {
		take(t, s.Followed, s.state.Change(s.seen))
	}
	return plan
}

// take gives a record to who follows, and reports whether anything has changed.
func take(t interface{ Fatalf(string, ...any) }, f *Followed, e protocol.Event) bool {
	key, known := record.ParseFollowedKey(e.Put)
	switch {
	case !known: // the history
		return false
	case key.Configuration:
		var head record.Configuration
		if err := protocol.Decode(e.Value, &head); err != nil {
			t.Fatalf("%v", err)
		}
		return f.TakeHead(head, e.Version)
	}
	var entry record.ConfigurationEntry
	if err := protocol.Decode(e.Value, &entry); err != nil {
		t.Fatalf("%v", err)
	}
	return f.TakeEntry(key.ConfigurationEntry, entry)
}

// TestRevisionsAreAppliedWhole: whatever the order in which a revision's records come,
// nothing of it is in force before all of them have, and then all of it is.
func TestRevisionsAreAppliedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := newStore(), NewFollowed(site(), config.DefaultOperator())
		for range rapid.IntRange(1, 6).Draw(t, "revisions") {
			var changes []operatorapi.ConfigChange
			for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
				amount := float64(rapid.IntRange(20, 90).Draw(t, "limit"))
				changes = append(changes, []operatorapi.ConfigChange{
					{Entry: "team/bound", MaxCPUs: &amount}, {Entry: "team/other", MaxCPUs: &amount},
					{Entry: "zone/a", Closed: flag(int(amount)%2 == 0)}, {Entry: "setting/idleReturn", Value: setting(fmt.Sprintf("%vs", amount))},
				}[i])
			}
			before, first := other.Effective(), s.state.Changes()
			plan := s.write(t, changes...)
			if len(plan.Changes) == 0 {
				continue
			}
			var events []protocol.Event
			for i := first; i < s.state.Changes(); i++ {
				events = append(events, s.state.Change(i))
			}
			order := rapid.Permutation(events).Draw(t, "order")
			applied := 0
			for _, e := range order {
				if take(t, other, e) {
					applied++
				} else if applied == 0 && !reflect.DeepEqual(other.Effective(), before) {
					t.Fatal("part of a revision is in force")
				}
				take(t, other, e) // a repetition changes nothing
			}
			if applied != 1 || !reflect.DeepEqual(other.Effective(), s.Effective()) {
				t.Fatalf("applied %d times: %+v, want %+v", applied, other.Effective(), s.Effective())
			}
		}
	})
}

// TestListedWhileItChanges: records that were listed while changes were made, and then
// followed, lead to the same as following all of them.
func TestListedWhileItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		for i := range rapid.IntRange(1, 8).Draw(t, "before") {
			s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(float64(30 + i))}, operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: number(float64(50 + i))})
		}
		listed, from := NewFollowed(site(), config.DefaultOperator()), s.seen
		for _, prefix := range []string{"c/config/entry/team/b", "c/config/entry/team/o", "c/config/r"} { // pages
			for _, it := range s.state.List(prefix) {
				take(t, listed, protocol.Event{Put: it.Key, Value: it.Value, Version: it.Version})
			}
			for i := range rapid.IntRange(0, 2).Draw(t, "between") {
				amount := float64(60 + i + s.seen)
				s.write(t, operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: &amount})
			}
		}
		for ; from < s.state.Changes(); from++ {
			take(t, listed, s.state.Change(from))
		}
		if !reflect.DeepEqual(listed.Effective(), s.Effective()) {
			t.Fatalf("%+v, want %+v", listed.Effective(), s.Effective())
		}
	})
}

// TestLowered: what lowers a limit is noted with its revision, and stays noted.
func TestLowered(t *testing.T) {
	s := newStore()
	for i, step := range []struct {
		change operatorapi.ConfigChange
		want   Revision
	}{
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(16)}, 0}, // from 12
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(10)}, 2},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(30)}, 2},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(0)}, 2}, // any
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(40)}, 5},
		{operatorapi.ConfigChange{Entry: "team/bound", Closed: flag(true)}, 5},
		{operatorapi.ConfigChange{Entry: "team/bound", Remove: true}, 0},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(9)}, 5}, // added again
	} {
		s.write(t, step.change)
		if got := s.Effective().LimitLowered("bound"); got != step.want {
			t.Errorf("step %d: lowered by revision %d, want %d", i, got, step.want)
		}
	}
}

// TestResetKeepsLowered: a team that is reset to a higher limit keeps the revision that
// lowered it last: what was placed by a still higher one may wait somewhere.
func TestResetKeepsLowered(t *testing.T) {
	s := newStore()
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(100)}) // from 12
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(10)})
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", Reset: true})
	if got := s.Effective().LimitLowered("bound"); got != 2 {
		t.Errorf("lowered by revision %d, want 2", got)
	}
	if team, _ := s.Effective().Team("bound"); team.MaxCPUs != 12 {
		t.Errorf("%+v", team)
	}
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(50)})
	if got := s.Effective().LimitLowered("bound"); got != 2 {
		t.Errorf("changed again: lowered by revision %d, want 2", got)
	}
	if _, err := s.Decide(facts(), []operatorapi.ConfigChange{{Entry: "team/bound", Reset: true}}); err == nil {
		t.Error("a reset that lowers the limit is taken")
	}
}

// TestBadChanges: each bad change is refused by name, and nothing of what stands
// beside it is done.
func TestBadChanges(t *testing.T) {
	s := newStore()
	s.write(t, operatorapi.ConfigChange{Entry: "team/new", CPUs: number(5), MaxCPUs: number(9)}, operatorapi.ConfigChange{Entry: "team/ends", MaxCPUs: number(9), Closed: flag(true)})
	good := operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: number(50)}
	f := facts()
	f.LiveJobs = func(team protocol.Team) int { return map[protocol.Team]int{"ends": 3}[team] }
	f.Processors = 40
	for want, change := range map[string]operatorapi.ConfigChange{
		"no kind of entry":           {Entry: "town/a", Closed: flag(true)},
		"is no name":                 {Entry: "team/a b", CPUs: number(1)},
		"none of this name":          {Entry: "zone/nowhere", Closed: flag(true)},
		"can't be changed":           {Entry: "setting/nodeLease", Value: setting("2s")},
		"no duration":                {Entry: "setting/idleReturn", Value: setting("soon")},
		"cpus_max: -1":               {Entry: "team/bound", MaxCPUs: number(-1)},
		"below the guarantee":        {Entry: "team/bound", MaxCPUs: number(3)},
		"several owners":             {Entry: "team/free", MaxCPUs: number(3)},
		"closed to new jobs first":   {Entry: "team/new", Remove: true},
		"3 of its jobs are not over": {Entry: "team/ends", Remove: true},
		"no such team":               {Entry: "team/never", Remove: true},
		"no kind of objective":       {Entry: "class/urgent", Objectives: &[]record.ObjectiveEntry{{Kind: "soon", Share: 0.5}}},
		"share 2 is not":             {Entry: "class/urgent", Objectives: &[]record.ObjectiveEntry{{Kind: "wait", WithinS: 1, Share: 2}}},
		"fields don't fit":           {Entry: "zone/a", CPUs: number(1)},
		"in all, 40 can be counted":  {Entry: "team/bound", CPUs: number(38), MaxCPUs: number(50)},
		"named twice":                good,
	} {
		before := s.Effective()
		plan, err := s.Decide(f, []operatorapi.ConfigChange{good, change})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
		if plan != nil && err == nil || s.Effective() != before {
			t.Errorf("%s: something of it was done", want)
		}
	}
	if _, err := s.Decide(f, make([]operatorapi.ConfigChange, 11)); err == nil || !strings.Contains(err.Error(), "at most 10 fit") {
		t.Errorf("11 entries: %v", err)
	}
}

// TestRequestsAreKnownAgain: a request that was carried out is known by its id, and
// one that changes nothing writes nothing.
func TestRequestsAreKnownAgain(t *testing.T) {
	s := newStore()
	for i := range record.ConfigurationRequests + 5 {
		plan, err := s.Decide(facts(), []operatorapi.ConfigChange{{Entry: "team/other", MaxCPUs: number(float64(40 + i))}})
		if err != nil {
			t.Fatal(err)
		}
		plan.Request = fmt.Sprint("request-", i)
		if !s.state.Txn(plan.Transaction()) {
			t.Fatal("not written")
		}
		for ; s.seen < s.state.Changes(); s.seen++ {
			take(t, s.Followed, s.state.Change(s.seen))
		}
	}
	if r, done := s.DoneBefore(fmt.Sprint("request-", record.ConfigurationRequests+4)); !done || r != record.ConfigurationRequests+5 {
		t.Errorf("the last request: %v, %v", r, done)
	}
	if _, done := s.DoneBefore("request-0"); done || len(s.head.Requests) != record.ConfigurationRequests {
		t.Errorf("%d requests are kept", len(s.head.Requests))
	}
	plan, err := s.Decide(facts(), []operatorapi.ConfigChange{{Entry: "team/other", MaxCPUs: number(float64(44 + record.ConfigurationRequests))}})
	if err != nil || len(plan.Changes) != 0 {
		t.Errorf("the same again: %+v, %v", plan, err)
	}
}
