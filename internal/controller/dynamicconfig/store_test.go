package dynamicconfig

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

func floatPtr(v float64) *float64 { return &v }
func boolPtr(v bool) *bool        { return &v }
func settingPtr(v string) *record.SettingText {
	text := record.SettingText(v)
	return &text
}

// testSite returns a deployment with a team without a limit and two teams with limits.
func testSite() *config.Site {
	s := fake.Settings().Site
	s.Teams = append(s.Teams, config.Team{Name: "other", CPUs: 4, MaxCPUs: 20})
	return &s
}

func testFacts() *Facts {
	return &Facts{Zones: []protocol.Zone{"a", "b"}, Types: []protocol.MachineType{"small"}, LiveJobs: func(protocol.Team) int { return 0 }, MaxChanges: 12}
}

// store is a key-value store with the records of the configuration, together with the
// configuration that results from them.
type store struct {
	records *fake.KeyValueStore
	*Tracker
	applied int // number of changes of records that were applied
}

func newStore() *store {
	return &store{records: fake.NewKeyValueStore(), Tracker: NewTracker(testSite(), config.DefaultOperator())}
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// commit decides on changes, writes them and applies the written records.
func (s *store) commit(t fataler, changes ...operatorapi.ConfigChange) *Plan {
	t.Helper()
	plan, err := s.Decide(testFacts(), changes)
	if err != nil {
		t.Fatalf("%+v: %v", changes, err)
	}
	if !s.records.Execute(plan.Transaction()) {
		t.Fatalf("%+v: not written", changes)
	}
	for ; s.applied < s.records.Changes(); s.applied++ {
		applyEvent(t, s.Tracker, s.records.Change(s.applied))
	}
	return plan
}

// applyEvent applies the record of an event, and reports whether the configuration has changed.
func applyEvent(t fataler, f *Tracker, e protocol.Event) bool {
	t.Helper()
	key, known := record.ParseFollowedKey(e.Put)
	switch {
	case !known: // the history
		return false
	case key.Configuration:
		var revision record.Configuration
		if err := protocol.Decode(e.Value, &revision); err != nil {
			t.Fatalf("%v", err)
		}
		return f.ApplyRevision(revision, e.Version)
	}
	var entry record.ConfigurationEntry
	if err := protocol.Decode(e.Value, &entry); err != nil {
		t.Fatalf("%v", err)
	}
	return f.ApplyEntry(key.ConfigurationEntry, entry)
}
