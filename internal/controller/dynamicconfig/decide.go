package dynamicconfig

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// headChanges is how many changes of a transaction are not entries: the revision's
	// record and the history's.
	headChanges = 2
	// maxObjectives bounds the objectives of a class, and maxEntries all entries: so
	// that no record comes near the limit of values, and no list grows without end.
	maxObjectives = 20
	maxEntries    = 2000
	maxAmount     = 1e9
)

// validName is what names of teams, classes, zones and types look like in keys.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// objectiveKinds are the kinds of objectives that the platform's file knows.
var objectiveKinds = []string{"wait", "finished", "deadline", "guarantee"}

// Facts are what a decision needs to know beside the configuration.
type Facts struct {
	Zones []protocol.Zone
	Types []protocol.MachineType
	// LiveJobs counts a team's jobs that are not over.
	LiveJobs func(protocol.Team) int
	// Processors are all that can be counted on; 0: not known.
	Processors float64
	// MaxChanges is how many changes a transaction may hold.
	MaxChanges int
}

// Plan is a change that was decided: what it writes.
type Plan struct {
	Revision Revision
	Changes  []record.EntryChange
	Request  string
	By       string
	AtMS     record.Moment
	head     record.Configuration
	version  protocol.Version
}

// Decide decides a change on what is in force. An error names all that is wrong: then
// nothing of it is done. Without a change left to make, the plan is empty.
func (f *Followed) Decide(facts *Facts, changes []operatorapi.ConfigChange) (*Plan, error) {
	if len(changes) == 0 {
		return nil, errors.New("no entry is named")
	}
	if most := facts.MaxChanges - headChanges; len(changes) > most {
		return nil, fmt.Errorf("%d entries in one change, at most %d fit into a transaction of the state service", len(changes), most)
	}
	plan := &Plan{Revision: f.head.Revision + 1, head: f.head, version: f.version}
	var wrong []error
	seen := map[record.EntryID]bool{}
	for _, change := range changes {
		if seen[change.Entry] {
			wrong = append(wrong, fmt.Errorf("%s: named twice", change.Entry))
			continue
		}
		seen[change.Entry] = true
		entry, err := f.entryAfter(facts, change)
		if err != nil {
			wrong = append(wrong, fmt.Errorf("%s: %w", change.Entry, err))
			continue
		}
		from := f.Entry(change.Entry)
		if !sameEntry(from, entry) {
			entry.Revision = plan.Revision
			plan.Changes = append(plan.Changes, record.EntryChange{Entry: change.Entry, From: from, To: entry})
		}
	}
	if len(wrong) > 0 {
		return nil, errors.Join(wrong...)
	}
	if len(f.entries)+len(plan.Changes) > maxEntries {
		return nil, fmt.Errorf("more than %d entries", maxEntries)
	}
	return plan, f.checkGuarantees(facts, plan)
}

// entryAfter is an entry as a change leaves it.
func (f *Followed) entryAfter(facts *Facts, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	none := record.ConfigurationEntry{}
	kind, name := c.Entry.Split()
	if !validName.MatchString(name) {
		return none, fmt.Errorf("%q is no name: letters, digits, dots, dashes and underscores, at most 100", name)
	}
	if err := c.CheckFields(kind); err != nil {
		return none, err
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
	return none, fmt.Errorf("%q is no kind of entry: team, class, zone, type or setting", kind)
}

// teamAfter is a team's entry as a change leaves it.
func (f *Followed) teamAfter(facts *Facts, name protocol.Team, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	none := record.ConfigurationEntry{}
	have, known := f.effective.Team(name)
	if c.Reset || c.Remove {
		if err := f.checkTeamEnds(facts, name, c); err != nil {
			return none, err
		}
	}
	lowered := f.lastLowered(c.Entry)
	if c.Reset {
		return record.ConfigurationEntry{Reset: true, Lowered: lowered}, nil
	}
	t := record.TeamEntry{CPUs: have.CPUs, MaxCPUs: have.MaxCPUs, GPUs: have.GPUs, MaxGPUs: have.MaxGPUs, Closed: have.Closed, Lowered: lowered}
	if t.Removed = c.Remove; c.Remove {
		return record.ConfigurationEntry{Team: &t}, nil
	}
	for _, amount := range []struct {
		name string
		to   *float64
		from *float64
	}{{"cpus", &t.CPUs, c.CPUs}, {"cpus_max", &t.MaxCPUs, c.MaxCPUs}, {"gpus", &t.GPUs, c.GPUs}, {"gpus_max", &t.MaxGPUs, c.MaxGPUs}} {
		if amount.from == nil {
			continue
		}
		if v := *amount.from; math.IsNaN(v) || v < 0 || v > maxAmount {
			return none, fmt.Errorf("%s: %v is not from 0 to %g", amount.name, v, maxAmount)
		}
		*amount.to = *amount.from
	}
	if c.Closed != nil {
		t.Closed = *c.Closed
	}
	if err := f.checkTeam(name, &t); err != nil {
		return none, err
	}
	if known && lowers(have, &t) {
		t.Lowered = f.head.Revision + 1
	}
	return record.ConfigurationEntry{Team: &t}, nil
}

// lastLowered is the last revision that lowered a team's limit, also of one that was
// reset or removed since: what was placed before may still wait somewhere.
func (f *Followed) lastLowered(id record.EntryID) Revision {
	entry := f.entries[id]
	if entry.Team != nil {
		return entry.Team.Lowered
	}
	return entry.Lowered
}

// lowers reports whether a team may use less than before.
func lowers(have Team, t *record.TeamEntry) bool {
	less := func(to, from float64) bool { return to > 0 && (from == 0 || to < from) }
	return less(t.MaxCPUs, have.MaxCPUs) || less(t.MaxGPUs, have.MaxGPUs)
}

func (f *Followed) checkTeam(name protocol.Team, t *record.TeamEntry) error {
	if t.MaxCPUs > 0 && t.MaxCPUs < t.CPUs || t.MaxGPUs > 0 && t.MaxGPUs < t.GPUs {
		return fmt.Errorf("the limit (cpus_max %v, gpus_max %v) is below the guarantee (cpus %v, gpus %v)", t.MaxCPUs, t.MaxGPUs, t.CPUs, t.GPUs)
	}
	if (t.MaxCPUs > 0 || t.MaxGPUs > 0) && !OneOwner(f.site, record.LayoutConfiguration, name) {
		return errors.New("the platform's file gives this team no limit, so its jobs have several owners, and none of them could check one")
	}
	return nil
}

// checkTeamEnds checks that a team can be removed, or a removed or added one be reset.
// Closed for a while, it can have no job that is not followed here: see the design's
// page.
func (f *Followed) checkTeamEnds(facts *Facts, name protocol.Team, c operatorapi.ConfigChange) error {
	have, known := f.effective.Team(name)
	inFile := slices.ContainsFunc(f.site.Teams, func(t config.Team) bool { return t.Name == name })
	switch {
	case !known && c.Remove:
		return errors.New("there is no such team")
	case c.Reset && inFile:
		return f.checkResetLowers(name, have)
	case !known:
		return nil
	case !have.Closed:
		return errors.New("it has to be closed to new jobs first")
	}
	if n := facts.LiveJobs(name); n > 0 {
		return fmt.Errorf("%d of its jobs are not over", n)
	}
	return nil
}

// checkResetLowers refuses to reset a team where that would lower its limit: the
// platform's file can't say since when it is lower.
func (f *Followed) checkResetLowers(name protocol.Team, have Team) error {
	for _, t := range f.site.Teams {
		if t.Name == name && have.Name != "" && lowers(have, &record.TeamEntry{MaxCPUs: t.MaxCPUs, MaxGPUs: t.MaxGPUs}) {
			return fmt.Errorf("this would lower its limit to cpus_max %v, gpus_max %v: set that instead", t.MaxCPUs, t.MaxGPUs)
		}
	}
	return nil
}

func classAfter(c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	if c.Reset {
		return record.ConfigurationEntry{Reset: true}, nil
	}
	objectives := *c.Objectives
	if len(objectives) > maxObjectives {
		return record.ConfigurationEntry{}, fmt.Errorf("%d objectives, at most %d", len(objectives), maxObjectives)
	}
	for _, o := range objectives {
		switch {
		case !slices.Contains(objectiveKinds, o.Kind):
			return record.ConfigurationEntry{}, fmt.Errorf("%q is no kind of objective: %v", o.Kind, objectiveKinds)
		case !(o.Share > 0) || o.Share > 1:
			return record.ConfigurationEntry{}, fmt.Errorf("%s: share %v is not above 0 and at most 1", o.Kind, o.Share)
		case !(o.WithinS >= 0) || o.WithinS > maxAmount || !(o.Times >= 0) || o.Times > maxAmount:
			return record.ConfigurationEntry{}, fmt.Errorf("%s: within_s %v or times %v is out of range", o.Kind, o.WithinS, o.Times)
		}
	}
	return record.ConfigurationEntry{Class: &record.ClassEntry{Objectives: objectives}}, nil
}

func placeAfter(c operatorapi.ConfigChange, known bool) (record.ConfigurationEntry, error) {
	if !known {
		return record.ConfigurationEntry{}, errors.New("there is none of this name")
	}
	if c.Reset || !*c.Closed {
		return record.ConfigurationEntry{Reset: true}, nil
	}
	return record.ConfigurationEntry{Place: &record.PlaceEntry{Closed: true}}, nil
}

func (f *Followed) settingAfter(name string, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	trial := f.operator
	text := record.SettingText("1s")
	if !c.Reset {
		text = *c.Value
	}
	if err := setSetting(&trial, name, text); err != nil {
		return record.ConfigurationEntry{}, err
	}
	if c.Reset {
		return record.ConfigurationEntry{Reset: true}, nil
	}
	return record.ConfigurationEntry{Value: &text}, nil
}

// checkGuarantees refuses guarantees that no longer fit into what can be counted on.
// Where they don't fit already, a change that asks for no more is taken.
func (f *Followed) checkGuarantees(facts *Facts, plan *Plan) error {
	if facts.Processors == 0 {
		return nil
	}
	entries := map[record.EntryID]record.ConfigurationEntry{}
	for id, entry := range f.entries {
		entries[id] = entry
	}
	for _, c := range plan.Changes {
		entries[c.Entry] = c.To
	}
	before := f.effective.guaranteed()
	after := build(f.site, f.operator, entries, record.Configuration{}, 0).guaranteed()
	if after > facts.Processors && after > before {
		return fmt.Errorf("the teams' guarantees would be %v processors in all, %v can be counted on (now %v are guaranteed)", after, facts.Processors, before)
	}
	return nil
}

func (e *Effective) guaranteed() float64 {
	sum := 0.0
	for _, t := range e.teams {
		sum += t.CPUs
	}
	return sum
}

// sameEntry reports whether two entries say the same.
func sameEntry(a, b record.ConfigurationEntry) bool {
	a.Revision, b.Revision = 0, 0
	encodedA, errA := protocol.Encode(a)
	encodedB, errB := protocol.Encode(b)
	return errA == nil && errB == nil && string(encodedA) == string(encodedB)
}

// Transaction is what a plan writes: the entries, the history and, on its version, the
// revision's record.
func (p *Plan) Transaction() protocol.Transaction {
	head := record.Configuration{Revision: p.Revision, Requests: slices.Clone(p.head.Requests)}
	txn := protocol.Transaction{Conditions: []protocol.Condition{{Key: record.ConfigurationKey, Version: p.version}}}
	for _, c := range p.Changes {
		head.Entries = append(head.Entries, c.Entry)
		txn.Changes = append(txn.Changes, protocol.Change{Put: record.ConfigurationEntryKey(c.Entry), Value: c.To})
	}
	if p.Request != "" {
		head.Requests = append(head.Requests, record.ConfigurationRequest{ID: p.Request, Revision: p.Revision})
		head.Requests = head.Requests[max(0, len(head.Requests)-record.ConfigurationRequests):]
	}
	history := record.ConfigurationChange{Revision: p.Revision, By: p.By, AtMS: p.AtMS, Changes: p.Changes}
	txn.Changes = append(txn.Changes,
		protocol.Change{Put: record.ConfigurationHistoryKey(p.Revision), Value: history},
		protocol.Change{Put: record.ConfigurationKey, Value: head})
	return txn
}

// DoneBefore is the revision by which a request was carried out already.
func (f *Followed) DoneBefore(request string) (Revision, bool) {
	for _, r := range f.head.Requests {
		if request != "" && r.ID == request {
			return r.Revision, true
		}
	}
	return 0, false
}
