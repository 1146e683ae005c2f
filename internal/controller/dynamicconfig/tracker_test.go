package dynamicconfig

import (
	"fmt"
	"reflect"
	"testing"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"

	"pgregory.net/rapid"
)

// TestRevisionIsAppliedAtomically checks that, in whatever order the records of a revision
// are read, no part of the revision is in force before all of them have been read, and the
// whole revision is in force afterwards.
func TestRevisionIsAppliedAtomically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := newStore(), NewTracker(testSite(), config.DefaultOperator())
		for range rapid.IntRange(1, 6).Draw(t, "revisions") {
			var changes []operatorapi.ConfigChange
			for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
				amount := float64(rapid.IntRange(20, 90).Draw(t, "limit"))
				changes = append(changes, []operatorapi.ConfigChange{
					{Entry: "team/bound", MaxCPUs: &amount},
					{Entry: "team/other", MaxCPUs: &amount},
					{Entry: "zone/a", Closed: boolPtr(int(amount)%2 == 0)},
					{Entry: "setting/idleReturn", Value: settingPtr(fmt.Sprintf("%vs", amount))},
				}[i])
			}
			before, first := other.Effective(), s.records.Changes()
			plan := s.commit(t, changes...)
			if len(plan.Changes) == 0 {
				continue
			}
			var events []protocol.Event
			for i := first; i < s.records.Changes(); i++ {
				events = append(events, s.records.Change(i))
			}
			order := rapid.Permutation(events).Draw(t, "order")
			applied := 0
			for _, e := range order {
				if applyEvent(t, other, e) {
					applied++
				} else if applied == 0 && !reflect.DeepEqual(other.Effective(), before) {
					t.Fatal("part of a revision is in force")
				}
				applyEvent(t, other, e) // a repetition changes nothing
			}
			if applied != 1 || !reflect.DeepEqual(other.Effective(), s.Effective()) {
				t.Fatalf("applied %d times: %+v, want %+v", applied, other.Effective(), s.Effective())
			}
		}
	})
}

// TestListDuringChangesConverges checks that listing the records while changes are made,
// and then applying the changes since the list began, gives the same configuration as
// applying all changes in order.
func TestListDuringChangesConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		for i := range rapid.IntRange(1, 8).Draw(t, "before") {
			s.commit(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(float64(30 + i))}, operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: floatPtr(float64(50 + i))})
		}
		listed, from := NewTracker(testSite(), config.DefaultOperator()), s.applied
		for _, prefix := range []string{"c/config/entry/team/b", "c/config/entry/team/o", "c/config/r"} { // pages
			for _, it := range s.records.List(prefix) {
				applyEvent(t, listed, protocol.Event{Put: it.Key, Value: it.Value, Version: it.Version})
			}
			for i := range rapid.IntRange(0, 2).Draw(t, "between") {
				amount := float64(60 + i + s.applied)
				s.commit(t, operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: &amount})
			}
		}
		for ; from < s.records.Changes(); from++ {
			applyEvent(t, listed, s.records.Change(from))
		}
		if !reflect.DeepEqual(listed.Effective(), s.Effective()) {
			t.Fatalf("%+v, want %+v", listed.Effective(), s.Effective())
		}
	})
}
