package operatorapi

import (
	"slices"
	"strings"
	"testing"

	"damsonkeel/internal/record"
)

// TestCheckFieldsMatchesKindOfEntry checks that a change either sets fields that its kind of
// entry has, or resets or removes the entry, but not both.
func TestCheckFieldsMatchesKindOfEntry(t *testing.T) {
	setField := map[string]func(*ConfigChange){
		"amount":     func(c *ConfigChange) { c.GPUs = new(float64) },
		"closed":     func(c *ConfigChange) { c.Closed = new(bool) },
		"objectives": func(c *ConfigChange) { c.Objectives = &[]record.ObjectiveEntry{} },
		"value":      func(c *ConfigChange) { c.Value = new(record.SettingText) },
		"reset":      func(c *ConfigChange) { c.Reset = true },
		"remove":     func(c *ConfigChange) { c.Remove = true },
	}
	names := []string{"amount", "closed", "objectives", "value", "reset", "remove"}
	allowed := map[record.EntryKind][]string{
		record.EntryTeam:    {"amount", "closed", "amount closed", "reset", "remove"},
		record.EntryClass:   {"objectives", "reset"},
		record.EntryZone:    {"closed", "reset"},
		record.EntryType:    {"closed", "reset"},
		record.EntrySetting: {"value", "reset"},
	}
	for kind, combinations := range allowed {
		for bits := range 1 << len(names) {
			var change ConfigChange
			var combination strings.Builder
			for i, name := range names {
				if bits&(1<<i) != 0 {
					setField[name](&change)
					combination.WriteString(" " + name)
				}
			}
			want := slices.Contains(combinations, strings.TrimSpace(combination.String()))
			err := change.CheckFields(kind)
			if (err == nil) != want {
				t.Errorf("%s with%s: %v", kind, combination.String(), err)
			}
			if err != nil && err.Error() != "the fields don't fit this kind of entry" {
				t.Errorf("%s with%s: %v", kind, combination.String(), err)
			}
		}
	}
	if err := (&ConfigChange{Reset: true}).CheckFields("other"); err != nil {
		t.Errorf("an unknown kind was rejected, which is left to the caller: %v", err)
	}
	if err := (&ConfigChange{Remove: true}).CheckFields("other"); err == nil {
		t.Error("removal of an entry that is not a team was accepted")
	}
}
