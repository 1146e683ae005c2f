package operatorapi

import (
	"maps"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/record"
)

// ConfigFile is a file of changes of the configuration: all of them are made in one
// step, or none.
type ConfigFile struct {
	// Revision, if not nil, is the one that has to be in force.
	Revision *uint64                       `toml:"revision"`
	Teams    []ConfigFileTeam              `toml:"teams"`
	Classes  []ConfigFileClass             `toml:"classes"`
	Zones    []ConfigFilePlace             `toml:"zones"`
	Types    []ConfigFilePlace             `toml:"types"`
	Settings map[string]record.SettingText `toml:"settings"`
}

// ConfigFileTeam is a team in such a file. What is left out stays.
type ConfigFileTeam struct {
	Name    string   `toml:"name"`
	CPUs    *float64 `toml:"cpus"`
	MaxCPUs *float64 `toml:"cpus_max"`
	GPUs    *float64 `toml:"gpus"`
	MaxGPUs *float64 `toml:"gpus_max"`
	Closed  *bool    `toml:"closed"`
	Reset   bool     `toml:"reset"`
	Remove  bool     `toml:"remove"`
}

// ConfigFileClass is a class with all of its objectives.
type ConfigFileClass struct {
	Name       string                  `toml:"name"`
	Objectives []record.ObjectiveEntry `toml:"objectives"`
	Reset      bool                    `toml:"reset"`
}

// ConfigFilePlace is a zone or a machine type.
type ConfigFilePlace struct {
	Name   string `toml:"name"`
	Closed *bool  `toml:"closed"`
	Reset  bool   `toml:"reset"`
}

// ParseConfigFile reads a file of changes. Unknown fields are named.
func ParseConfigFile(b []byte) (*ConfigFile, error) {
	f := &ConfigFile{}
	if err := config.DecodeStrict(b, f); err != nil {
		return nil, err
	}
	return f, nil
}

// Changes are the changes that the file asks for.
func (f *ConfigFile) Changes() []ConfigChange {
	var changes []ConfigChange
	for _, t := range f.Teams {
		changes = append(changes, ConfigChange{
			Entry: record.NewEntryID(record.EntryTeam, t.Name), CPUs: t.CPUs, MaxCPUs: t.MaxCPUs, GPUs: t.GPUs, MaxGPUs: t.MaxGPUs,
			Closed: t.Closed, Reset: t.Reset, Remove: t.Remove,
		})
	}
	for _, c := range f.Classes {
		change := ConfigChange{Entry: record.NewEntryID(record.EntryClass, c.Name), Reset: c.Reset}
		if !c.Reset {
			objectives := append([]record.ObjectiveEntry{}, c.Objectives...)
			change.Objectives = &objectives
		}
		changes = append(changes, change)
	}
	for _, z := range f.Zones {
		changes = append(changes, ConfigChange{Entry: record.NewEntryID(record.EntryZone, z.Name), Closed: z.Closed, Reset: z.Reset})
	}
	for _, t := range f.Types {
		changes = append(changes, ConfigChange{Entry: record.NewEntryID(record.EntryType, t.Name), Closed: t.Closed, Reset: t.Reset})
	}
	for _, name := range slices.Sorted(maps.Keys(f.Settings)) {
		value := f.Settings[name]
		changes = append(changes, ConfigChange{Entry: record.NewEntryID(record.EntrySetting, name), Value: &value})
	}
	return changes
}
