package dynamicconfig

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// nonEntryChanges is the number of changes of a transaction that do not write entries:
	// they write the record of the revision and the record of its history.
	nonEntryChanges = 2
	// maxEntries is the maximum number of entries that were ever changed, so that the
	// configuration does not grow without limit.
	maxEntries = 2000
)

// validName matches the names of teams, classes, zones and types that can be part of the
// keys of records.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Facts holds the inputs of a decision other than the configuration.
type Facts struct {
	Zones []protocol.Zone        // all zones of the site
	Types []protocol.MachineType // all machine types of the catalogue
	// LiveJobs returns the number of a team's jobs that have not ended.
	LiveJobs func(protocol.Team) int
	// Processors is the number of processors of all machines that operators count on, which
	// the teams' guarantees may not exceed. If it is 0, the number is unknown and guarantees
	// are not checked against it.
	Processors float64
	// MaxChanges is the largest number of changes that a transaction on the key-value store
	// may have.
	MaxChanges int
}

// Decide decides on changes of the configuration in force, all of which are accepted or
// refused together. The error lists every problem. If the changes make no difference to
// the configuration in force, the plan has no changes.
func (f *Tracker) Decide(facts *Facts, changes []operatorapi.ConfigChange) (*Plan, error) {
	if len(changes) == 0 {
		return nil, refused("no entry is named")
	}
	if limit := facts.MaxChanges - nonEntryChanges; len(changes) > limit {
		return nil, refused("%d entries in one change, at most %d fit into a transaction of the state service", len(changes), limit)
	}
	plan := &Plan{Revision: f.current.Revision + 1, base: f.current, baseVersion: f.currentVersion}
	var problems []error
	seen := map[record.EntryID]bool{}
	for _, change := range changes {
		if seen[change.Entry] {
			problems = append(problems, refused("%s: named twice", change.Entry))
			continue
		}
		seen[change.Entry] = true
		entry, err := f.entryAfter(facts, change)
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", change.Entry, err))
			continue
		}
		plan.add(change.Entry, f.Entry(change.Entry), entry)
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	if len(f.entries)+len(plan.Changes) > maxEntries {
		return nil, refused("more than %d entries", maxEntries)
	}
	return plan, f.checkGuarantees(facts, plan)
}

// entryAfter returns the value that an entry has after a change. It returns an error if the
// entry's name or kind is invalid or its fields don't fit the kind, or if the kind's own rules
// refuse the change.
func (f *Tracker) entryAfter(facts *Facts, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	none := record.ConfigurationEntry{}
	kind, name := c.Entry.Split()
	if !validName.MatchString(name) {
		return none, refused("%q is no name: letters, digits, dots, dashes and underscores, at most 100", name)
	}
	if err := c.CheckFields(kind); err != nil {
		return none, err //nolint:wrapcheck // Decide wraps it with the name of the entry
	}
	switch kind {
	case record.EntryTeam:
		return f.teamAfter(facts, protocol.Team(name), c)
	case record.EntryClass:
		return classAfter(c)
	case record.EntryZone:
		return placeAfter(c, slices.Contains(facts.Zones, protocol.Zone(name)))
	case record.EntryType:
		return placeAfter(c, slices.Contains(facts.Types, protocol.MachineType(name)))
	case record.EntrySetting:
		return f.settingAfter(name, c)
	}
	return none, refused("%q is no kind of entry: team, class, zone, type or setting", kind)
}

// placeAfter returns the entry of a zone or a machine type after a change that closes (cordons)
// it or opens it again. It refuses the change unless the zone or the type exists.
func placeAfter(c operatorapi.ConfigChange, exists bool) (record.ConfigurationEntry, error) {
	if !exists {
		return record.ConfigurationEntry{}, refused("there is none of this name")
	}
	if c.Reset || !*c.Closed {
		return record.ConfigurationEntry{Reset: true}, nil
	}
	return record.ConfigurationEntry{Place: &record.PlaceEntry{Closed: true}}, nil
}

// checkGuarantees refuses a plan with which the guarantees of all teams together exceed
// the available processors. If they exceed them already, a plan that does not increase
// their sum is accepted.
func (f *Tracker) checkGuarantees(facts *Facts, plan *Plan) error {
	if facts.Processors == 0 {
		return nil
	}
	entries := maps.Clone(f.entries)
	for _, c := range plan.Changes {
		entries[c.Entry] = c.To
	}
	before := f.effective.guaranteedCPUs()
	after := buildEffective(f.site, f.operator, entries, record.Configuration{}, 0).guaranteedCPUs()
	if after > facts.Processors && after > before {
		return refused("the teams' guarantees would be %v processors in all, %v can be counted on (now %v are guaranteed)", after, facts.Processors, before)
	}
	return nil
}

// guaranteedCPUs returns the number of processors that are guaranteed to all teams together.
func (e *Effective) guaranteedCPUs() float64 {
	sum := 0.0
	for _, t := range e.teams {
		sum += t.CPUs
	}
	return sum
}
