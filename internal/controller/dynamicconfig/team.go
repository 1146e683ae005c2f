package dynamicconfig

import (
	"math"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxAmount is the largest value of guarantees and limits, in processors or GPUs, and of the
// times, in seconds, and factors of objectives.
const maxAmount = 1e9

// teamAfter returns a team's entry after a change, which resets or removes the team, or sets
// some of its guarantees, limits and whether it is closed; the others keep their values in
// force. If the change lowers a limit, the entry states the new revision as the last one that
// did.
func (f *Tracker) teamAfter(facts *Facts, name protocol.Team, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	none := record.ConfigurationEntry{}
	current, known := f.effective.Team(name)
	if c.Reset || c.Remove {
		if err := f.checkRemoveOrReset(facts, name, c); err != nil {
			return none, err
		}
	}
	lowered := f.lastLowered(c.Entry)
	if c.Reset {
		return record.ConfigurationEntry{Reset: true, Lowered: lowered}, nil
	}
	team := record.TeamEntry{
		CPUs: current.CPUs, MaxCPUs: current.MaxCPUs, GPUs: current.GPUs, MaxGPUs: current.MaxGPUs,
		Closed: current.Closed, Removed: c.Remove, Lowered: lowered,
	}
	if c.Remove {
		return record.ConfigurationEntry{Team: &team}, nil
	}
	if err := setAmounts(&team, c); err != nil {
		return none, err
	}
	if c.Closed != nil {
		team.Closed = *c.Closed
	}
	if err := f.checkLimits(name, &team); err != nil {
		return none, err
	}
	if known && lowersLimit(current, &team) {
		team.Lowered = f.current.Revision + 1
	}
	return record.ConfigurationEntry{Team: &team}, nil
}

// setAmounts copies the guarantees and limits that a change sets to a team's entry. It refuses
// values that are not from 0 to maxAmount.
func setAmounts(team *record.TeamEntry, c operatorapi.ConfigChange) error {
	for _, amount := range []struct {
		name string
		to   *float64
		from *float64
	}{
		{"cpus", &team.CPUs, c.CPUs},
		{"cpus_max", &team.MaxCPUs, c.MaxCPUs},
		{"gpus", &team.GPUs, c.GPUs},
		{"gpus_max", &team.MaxGPUs, c.MaxGPUs},
	} {
		if amount.from == nil {
			continue
		}
		if value := *amount.from; math.IsNaN(value) || value < 0 || value > maxAmount {
			return refused("%s: %v is not from 0 to %g", amount.name, value, maxAmount)
		}
		*amount.to = *amount.from
	}
	return nil
}

// lastLowered returns the last revision that lowered a team's limit, even if the team was
// reset or removed since: tasks that were placed before that revision may not have started
// yet.
func (f *Tracker) lastLowered(id record.EntryID) Revision {
	entry := f.entries[id]
	if entry.Team != nil {
		return entry.Team.Lowered
	}
	return entry.Lowered
}

// lowersLimit reports whether an entry lowers a limit of a team, of processors or of GPUs,
// below its current one. A limit of 0 is none, so that a first limit lowers it.
func lowersLimit(current Team, entry *record.TeamEntry) bool {
	less := func(to, from float64) bool { return to > 0 && (from == 0 || to < from) }
	return less(entry.MaxCPUs, current.MaxCPUs) || less(entry.MaxGPUs, current.MaxGPUs)
}

// checkLimits checks that a team's limits are not below its guarantees, and that the jobs of a
// team with a limit are all owned by one controller, which can enforce the limit.
func (f *Tracker) checkLimits(name protocol.Team, t *record.TeamEntry) error {
	if t.MaxCPUs > 0 && t.MaxCPUs < t.CPUs || t.MaxGPUs > 0 && t.MaxGPUs < t.GPUs {
		return refused("the limit (cpus_max %v, gpus_max %v) is below the guarantee (cpus %v, gpus %v)", t.MaxCPUs, t.MaxGPUs, t.CPUs, t.GPUs)
	}
	limited := t.MaxCPUs > 0 || t.MaxGPUs > 0
	if limited && !HasSingleOwner(f.site, record.LayoutConfiguration, name) {
		return refused("the platform's file gives this team no limit, so its jobs have several owners, and none of them could check one")
	}
	return nil
}

// checkRemoveOrReset checks that a team can be removed or reset. A team that is to be removed,
// or to be reset and is not in the platform's file, must be closed to new jobs and have no
// live jobs, that is, jobs that have not ended. Some time after it was closed, this controller
// tracks all jobs of the team that are left, so that the number of its live jobs is complete.
// A reset of a team of the platform's file must not lower its limit.
func (f *Tracker) checkRemoveOrReset(facts *Facts, name protocol.Team, c operatorapi.ConfigChange) error {
	current, known := f.effective.Team(name)
	inFile := slices.ContainsFunc(f.site.Teams, func(t config.Team) bool { return t.Name == name })
	switch {
	case !known && c.Remove:
		return refused("there is no such team")
	case c.Reset && inFile:
		return f.checkResetKeepsLimit(name, current)
	case !known:
		return nil
	case !current.Closed:
		return refused("it has to be closed to new jobs first")
	}
	if jobs := facts.LiveJobs(name); jobs > 0 {
		return refused("%d of its jobs are not over", jobs)
	}
	return nil
}

// checkResetKeepsLimit refuses to reset a team if the reset would lower its limit: a limit
// from the platform's file has no revision that states since when it applies.
func (f *Tracker) checkResetKeepsLimit(name protocol.Team, current Team) error {
	for _, t := range f.site.Teams {
		inFile := record.TeamEntry{MaxCPUs: t.MaxCPUs, MaxGPUs: t.MaxGPUs}
		if t.Name == name && current.Name != "" && lowersLimit(current, &inFile) {
			return refused("this would lower its limit to cpus_max %v, gpus_max %v: set that instead", t.MaxCPUs, t.MaxGPUs)
		}
	}
	return nil
}

// HasSingleOwner reports whether all jobs of a team have the same owner, the controller
// that places their tasks and enforces the team's limit. Of the teams in the platform's
// file, only those with a limit have one. The result depends only on the platform's file,
// which is the same on all controllers, and on the layout: if it could change with a
// revision, a job would have two owners while some controllers act on the previous
// revision. Teams that are not in the file have a single owner from LayoutConfiguration
// on: in views of that layout, every member implements this rule.
func HasSingleOwner(site *config.Site, layout record.Layout, name protocol.Team) bool {
	for _, t := range site.Teams {
		if t.Name == name {
			return t.Limited()
		}
	}
	return layout >= record.LayoutConfiguration
}
