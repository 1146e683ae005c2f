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

// TestRevisionsAreAppliedWhole: whatever the order in which a revision's records are read,
// nothing of it is in force before all of them are, and then all of it is.
func TestRevisionsAreAppliedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := newStore(), NewFollowed(site(), config.DefaultOperator())
		for range rapid.IntRange(1, 6).Draw(t, "revisions") {
			var changes []operatorapi.ConfigChange
			for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
				amount := float64(rapid.IntRange(20, 90).Draw(t, "limit"))
				changes = append(changes, []operatorapi.ConfigChange{
					{Entry: "team/bound", MaxCPUs: &amount},
					{Entry: "team/other", MaxCPUs: &amount},
					{Entry: "zone/a", Closed: flag(int(amount)%2 == 0)},
					{Entry: "setting/idleReturn", Value: setting(fmt.Sprintf("%vs", amount))},
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

// TestListDuringChangesConverges: records that are listed while changes are made, and then
// followed, give the same configuration as following all of them.
func TestListDuringChangesConverges(t *testing.T) {
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
