package dynamicconfig

import (
	"damsonkeel/internal/config"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
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

// store is a key-value store with the records of the configuration, and one that follows
// them.
type store struct {
	state *fake.KeyValueStore
	*Followed
	seen int
}

func newStore() *store {
	return &store{state: fake.NewKeyValueStore(), Followed: NewFollowed(site(), config.DefaultOperator())}
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// write decides a change, writes it and follows it.
func (s *store) write(t fataler, changes ...operatorapi.ConfigChange) *Plan {
	t.Helper()
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

// take applies the record of an event, and reports whether the configuration has changed.
func take(t fataler, f *Followed, e protocol.Event) bool {
	t.Helper()
	key, known := record.ParseFollowedKey(e.Put)
	switch {
	case !known: // the history
		return false
	case key.Configuration:
		var head record.Configuration
		if err := protocol.Decode(e.Value, &head); err != nil {
			t.Fatalf("%v", err)
		}
		return f.ApplyRevision(head, e.Version)
	}
	var entry record.ConfigurationEntry
	if err := protocol.Decode(e.Value, &entry); err != nil {
		t.Fatalf("%v", err)
	}
	return f.ApplyEntry(key.ConfigurationEntry, entry)
}
