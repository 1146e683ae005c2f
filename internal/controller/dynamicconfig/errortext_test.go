package dynamicconfig

import (
	"math"
	"strings"
	"testing"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestDecisionErrorTexts checks the exact texts of refusals: operators get them in replies,
// so they must not change.
func TestDecisionErrorTexts(t *testing.T) {
	s := newStore()
	s.commit(t,
		operatorapi.ConfigChange{Entry: "team/new", CPUs: floatPtr(5), MaxCPUs: floatPtr(9)},
		operatorapi.ConfigChange{Entry: "team/ends", MaxCPUs: floatPtr(9), Closed: boolPtr(true)},
		operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(50)},
	)
	f := testFacts()
	f.LiveJobs = func(team protocol.Team) int { return map[protocol.Team]int{"ends": 3}[team] }
	f.Processors = 40
	objectives := func(o ...record.ObjectiveEntry) *[]record.ObjectiveEntry { return &o }
	change := func(c ...operatorapi.ConfigChange) []operatorapi.ConfigChange { return c }
	for _, tc := range []struct {
		name    string
		changes []operatorapi.ConfigChange
		want    string
	}{
		{"nothing", nil, "no entry is named"},
		{"too many", make([]operatorapi.ConfigChange, 11), "11 entries in one change, at most 10 fit into a transaction of the state service"},
		{"twice", change(operatorapi.ConfigChange{Entry: "zone/a", Closed: boolPtr(true)}, operatorapi.ConfigChange{Entry: "zone/a", Closed: boolPtr(true)}), "zone/a: named twice"},
		{"two errors", change(operatorapi.ConfigChange{Entry: "zone/x", Closed: boolPtr(true)}, operatorapi.ConfigChange{Entry: "type/x", Closed: boolPtr(true)}), "zone/x: there is none of this name\ntype/x: there is none of this name"},
		{"kind", change(operatorapi.ConfigChange{Entry: "town/a", Closed: boolPtr(true)}), "town/a: \"town\" is no kind of entry: team, class, zone, type or setting"},
		{"name", change(operatorapi.ConfigChange{Entry: "team/a b", CPUs: floatPtr(1)}), "team/a b: \"a b\" is no name: letters, digits, dots, dashes and underscores, at most 100"},
		{"long name", change(operatorapi.ConfigChange{Entry: record.EntryID("team/" + strings.Repeat("a", 101)), CPUs: floatPtr(1)}), "team/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa: \"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\" is no name: letters, digits, dots, dashes and underscores, at most 100"},
		{"fields", change(operatorapi.ConfigChange{Entry: "zone/a", CPUs: floatPtr(1)}), "zone/a: the fields don't fit this kind of entry"},
		{"zone", change(operatorapi.ConfigChange{Entry: "zone/nowhere", Closed: boolPtr(true)}), "zone/nowhere: there is none of this name"},
		{"type", change(operatorapi.ConfigChange{Entry: "type/nothing", Reset: true}), "type/nothing: there is none of this name"},
		{"setting", change(operatorapi.ConfigChange{Entry: "setting/nodeLease", Value: settingPtr("2s")}), "setting/nodeLease: setting \"nodeLease\" can't be changed while controllers run; those that can: defaultEstimate, idleReturn"},
		{"setting reset", change(operatorapi.ConfigChange{Entry: "setting/nodeLease", Reset: true}), "setting/nodeLease: setting \"nodeLease\" can't be changed while controllers run; those that can: defaultEstimate, idleReturn"},
		{"duration", change(operatorapi.ConfigChange{Entry: "setting/idleReturn", Value: settingPtr("soon")}), "setting/idleReturn: \"soon\" is no duration from 100ms to 1h"},
		{"cpus", change(operatorapi.ConfigChange{Entry: "team/bound", CPUs: floatPtr(math.NaN())}), "team/bound: cpus: NaN is not from 0 to 1e+09"},
		{"cpus_max", change(operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(-1)}), "team/bound: cpus_max: -1 is not from 0 to 1e+09"},
		{"gpus", change(operatorapi.ConfigChange{Entry: "team/bound", GPUs: floatPtr(2e9)}), "team/bound: gpus: 2e+09 is not from 0 to 1e+09"},
		{"gpus_max", change(operatorapi.ConfigChange{Entry: "team/bound", MaxGPUs: floatPtr(-0.5)}), "team/bound: gpus_max: -0.5 is not from 0 to 1e+09"},
		{"limit below guarantee", change(operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(3)}), "team/bound: the limit (cpus_max 3, gpus_max 0) is below the guarantee (cpus 8, gpus 0)"},
		{"several owners", change(operatorapi.ConfigChange{Entry: "team/free", MaxCPUs: floatPtr(3)}), "team/free: the platform's file gives this team no limit, so its jobs have several owners, and none of them could check one"},
		{"open team", change(operatorapi.ConfigChange{Entry: "team/new", Remove: true}), "team/new: it has to be closed to new jobs first"},
		{"added team reset", change(operatorapi.ConfigChange{Entry: "team/new", Reset: true}), "team/new: it has to be closed to new jobs first"},
		{"team with jobs", change(operatorapi.ConfigChange{Entry: "team/ends", Remove: true}), "team/ends: 3 of its jobs are not over"},
		{"no team", change(operatorapi.ConfigChange{Entry: "team/never", Remove: true}), "team/never: there is no such team"},
		{"reset lowers", change(operatorapi.ConfigChange{Entry: "team/bound", Reset: true}), "team/bound: this would lower its limit to cpus_max 12, gpus_max 0: set that instead"},
		{"many objectives", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(make([]record.ObjectiveEntry, 21)...)}), "class/c: 21 objectives, at most 20"},
		{"objective", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(record.ObjectiveEntry{Kind: "soon", Share: 0.5})}), "class/c: \"soon\" is no kind of objective: [wait finished deadline guarantee]"},
		{"share", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(record.ObjectiveEntry{Kind: "wait", WithinS: 1, Share: 2})}), "class/c: wait: share 2 is not above 0 and at most 1"},
		{"no share", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(record.ObjectiveEntry{Kind: "wait", WithinS: 1})}), "class/c: wait: share 0 is not above 0 and at most 1"},
		{"share not a number", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(record.ObjectiveEntry{Kind: "wait", WithinS: 1, Share: math.NaN()})}), "class/c: wait: share NaN is not above 0 and at most 1"},
		{"within", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(record.ObjectiveEntry{Kind: "wait", WithinS: -1, Share: 0.5})}), "class/c: wait: within_s -1 or times 0 is out of range"},
		{"times", change(operatorapi.ConfigChange{Entry: "class/c", Objectives: objectives(record.ObjectiveEntry{Kind: "deadline", Times: math.NaN(), Share: 0.5})}), "class/c: deadline: within_s 0 or times NaN is out of range"},
		{"guarantees", change(operatorapi.ConfigChange{Entry: "team/bound", CPUs: floatPtr(38)}), "the teams' guarantees would be 47 processors in all, 40 can be counted on (now 17 are guaranteed)"},
	} {
		_, err := s.Decide(f, tc.changes)
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}

// TestEntriesAreBounded checks that a change that would add entries beyond the limit is
// refused.
func TestEntriesAreBounded(t *testing.T) {
	f := NewTracker(testSite(), config.DefaultOperator())
	for i := range 2000 {
		f.entries[record.NewEntryID(record.EntryClass, strings.Repeat("a", 1+i%90)+string(rune('a'+i/90)))] = record.ConfigurationEntry{Reset: true}
	}
	if len(f.entries) != 2000 {
		t.Fatalf("%d entries", len(f.entries))
	}
	_, err := f.Decide(testFacts(), []operatorapi.ConfigChange{{Entry: "zone/a", Closed: boolPtr(true)}})
	if err == nil || err.Error() != "more than 2000 entries" {
		t.Errorf("%v", err)
	}
}
