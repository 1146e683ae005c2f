package dynamicconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/record"
)

// settings are the operators' own settings that may change while controllers run.
// The others bound how long a controller may act, say how records are written, or have
// to be alike on all controllers at any moment.
var settings = map[string]func(*config.Operator) *time.Duration{
	"defaultEstimate": func(o *config.Operator) *time.Duration { return &o.DefaultEstimate },
	"idleReturn":      func(o *config.Operator) *time.Duration { return &o.IdleReturn },
}

// Settings lists the names of the settings that may change.
func Settings() []string { return slices.Sorted(maps.Keys(settings)) }

// Setting is the value of one that is in force; empty: it has no such value.
func (e *Effective) Setting(name string) record.SettingText {
	field := settings[name]
	if field == nil {
		return ""
	}
	return record.SettingText(field(&e.Operator).String())
}

// setSetting takes a setting's value.
func setSetting(operator *config.Operator, name string, text record.SettingText) error {
	field := settings[name]
	if field == nil {
		return fmt.Errorf("setting %q can't be changed while controllers run; those that can: %s", name, strings.Join(Settings(), ", "))
	}
	return config.SetDuration(field(operator), string(text))
}
