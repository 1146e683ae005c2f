package dynamicconfig

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

// changeableSettings maps the name of each operators' setting that may change while
// controllers run to its field. The other settings bound how long a controller may act,
// select the format of records, or must always be the same on all controllers.
var changeableSettings = map[string]func(*config.Operator) *time.Duration{
	"defaultEstimate": func(o *config.Operator) *time.Duration { return &o.DefaultEstimate },
	"idleReturn":      func(o *config.Operator) *time.Duration { return &o.IdleTimeout },
}

// ChangeableSettings returns the names of the operators' settings that may change while
// controllers run, in alphabetical order.
func ChangeableSettings() []string { return slices.Sorted(maps.Keys(changeableSettings)) }

// Setting returns the value in force of an operators' setting, as text; it is empty for a
// setting that can't change while controllers run.
func (e *Effective) Setting(name string) record.SettingText {
	field := changeableSettings[name]
	if field == nil {
		return ""
	}
	return record.SettingText(field(&e.Operator).String())
}

// setSetting parses the text of a setting's value and sets the setting to it. It returns an
// error if the setting can't change while controllers run, or if the value is invalid.
func setSetting(operator *config.Operator, name string, text record.SettingText) error {
	field := changeableSettings[name]
	if field == nil {
		return refused("setting %q can't be changed while controllers run; those that can: %s", name, strings.Join(ChangeableSettings(), ", "))
	}
	return config.SetDuration(field(operator), string(text)) //nolint:wrapcheck // Decide wraps it with the name of the entry
}

// validDuration is a value that all settings accept. It serves to check whether a setting
// that is to be reset exists.
const validDuration = record.SettingText("1s")

// settingAfter returns the entry of a setting after a change, which resets it or gives it a
// value. It refuses an invalid value and a setting that can't change while controllers run.
func (f *Tracker) settingAfter(name string, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	value := validDuration
	if !c.Reset {
		value = *c.Value
	}
	scratch := f.operator // the value is only checked here
	if err := setSetting(&scratch, name, value); err != nil {
		return record.ConfigurationEntry{}, err
	}
	if c.Reset {
		return record.ConfigurationEntry{Reset: true}, nil
	}
	return record.ConfigurationEntry{Value: &value}, nil
}
