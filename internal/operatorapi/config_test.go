package operatorapi

import (
	"slices"
	"strings"
	"testing"

	"damsonkeel/internal/record"
)

// TestFieldsFitTheirKindOfEntry: a change has fields of its kind of entry, or resets or
// removes it, and not both.
func TestFieldsFitTheirKindOfEntry(t *testing.T) {
	set := map[string]func(*ConfigChange){
		"amount":     func(c *ConfigChange) { c.GPUs = new(float64) },
		"closed":     func(c *ConfigChange) { c.Closed = new(bool) },
		"objectives": func(c *ConfigChange) { c.Objectives = &[]record.ObjectiveEntry{} },
		"value":      func(c *ConfigChange) { c.Value = new(record.SettingText) },
		"reset":      func(c *ConfigChange) { c.Reset = true },
		"remove":     func(c *ConfigChange) { c.Remove = true },
	}
	names := []string{"amount", "closed", "objectives", "value", "reset", "remove"}
	fits := map[record.EntryKind][]string{
		record.EntryTeam:    {"amount", "closed", "amount closed", "reset", "remove"},
		record.EntryClass:   {"objectives", "reset"},
		record.EntryZone:    {"closed", "reset"},
		record.EntryType:    {"closed", "reset"},
		record.EntrySetting: {"value", "reset"},
	}
	for kind, good := range fits {
		for bits := range 1 << len(names) {
			var change ConfigChange
			var given strings.Builder
			for i, name := range names {
				if bits&(1<<i) != 0 {
					set[name](&change)
					given.WriteString(" " + name)
				}
			}
			want := slices.Contains(good, strings.TrimSpace(given.String()))
			err := change.CheckFields(kind)
			if (err == nil) != want {
				t.Errorf("%s with%s: %v", kind, given.String(), err)
			}
			if err != nil && err.Error() != "the fields don't fit this kind of entry" {
				t.Errorf("%s with%s: %v", kind, given.String(), err)
			}
		}
	}
	if err := (&ConfigChange{Reset: true}).CheckFields("other"); err != nil {
		t.Errorf("another kind is rejected by name, not by its fields: %v", err)
	}
	if err := (&ConfigChange{Remove: true}).CheckFields("other"); err == nil {
		t.Error("removal of another kind than a team was accepted")
	}
}
