package dynamicconfig

import (
	"math"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// maxAmount bounds guarantees, limits and the numbers of objectives.
const maxAmount = 1e9

// teamAfter is a team's entry after a change.
func (f *Followed) teamAfter(facts *Facts, name protocol.Team, c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	none := record.ConfigurationEntry{}
	current, known := f.effective.Team(name)
	if c.Reset || c.Remove {
		if err := f.checkTeamEnds(facts, name, c); err != nil {
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
	if err := f.checkTeam(name, &team); err != nil {
		return none, err
	}
	if known && lowers(current, &team) {
		team.Lowered = f.head.Revision + 1
	}
	return record.ConfigurationEntry{Team: &team}, nil
}

// setAmounts sets the guarantees and limits that a change has.
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

// lastLowered is the last revision that lowered a team's limit, even if it was reset or
// removed since: what was placed before may still wait to be started.
func (f *Followed) lastLowered(id record.EntryID) Revision {
	entry := f.entries[id]
	if entry.Team != nil {
		return entry.Team.Lowered
	}
	return entry.Lowered
}

// lowers reports whether an entry lowers a limit of a team.
func lowers(current Team, entry *record.TeamEntry) bool {
	less := func(to, from float64) bool { return to > 0 && (from == 0 || to < from) }
	return less(entry.MaxCPUs, current.MaxCPUs) || less(entry.MaxGPUs, current.MaxGPUs)
}

// checkTeam checks the limits of a team.
func (f *Followed) checkTeam(name protocol.Team, t *record.TeamEntry) error {
	if t.MaxCPUs > 0 && t.MaxCPUs < t.CPUs || t.MaxGPUs > 0 && t.MaxGPUs < t.GPUs {
		return refused("the limit (cpus_max %v, gpus_max %v) is below the guarantee (cpus %v, gpus %v)", t.MaxCPUs, t.MaxGPUs, t.CPUs, t.GPUs)
	}
	limited := t.MaxCPUs > 0 || t.MaxGPUs > 0
	if limited && !HasSingleOwner(f.site, record.LayoutConfiguration, name) {
		return refused("the platform's file gives this team no limit, so its jobs have several owners, and none of them could check one")
	}
	return nil
}

// checkTeamEnds checks that a team can be removed or reset. A team that the platform's
// file does not have must be closed and have no jobs: closed for some time, it has no job
// that this controller does not follow.
func (f *Followed) checkTeamEnds(facts *Facts, name protocol.Team, c operatorapi.ConfigChange) error {
	current, known := f.effective.Team(name)
	inFile := slices.ContainsFunc(f.site.Teams, func(t config.Team) bool { return t.Name == name })
	switch {
	case !known && c.Remove:
		return refused("there is no such team")
	case c.Reset && inFile:
		return f.checkResetLowers(name, current)
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

// checkResetLowers refuses to reset a team if that lowered its limit: the platform's file
// has no revision that says since when.
func (f *Followed) checkResetLowers(name protocol.Team, current Team) error {
	for _, t := range f.site.Teams {
		inFile := record.TeamEntry{MaxCPUs: t.MaxCPUs, MaxGPUs: t.MaxGPUs}
		if t.Name == name && current.Name != "" && lowers(current, &inFile) {
			return refused("this would lower its limit to cpus_max %v, gpus_max %v: set that instead", t.MaxCPUs, t.MaxGPUs)
		}
	}
	return nil
}

// HasSingleOwner reports whether all jobs of a team have the same owner, which enforces the
// team's limit. It depends on the platform's file alone, which is the same everywhere: if
// it changed with a revision, a job would have two owners while some controllers act on
// the previous one. Teams that the file does not have get one owner with the layout whose
// members all know that.
func HasSingleOwner(site *config.Site, layout record.Layout, name protocol.Team) bool {
	for _, t := range site.Teams {
		if t.Name == name {
			return t.Limited()
		}
	}
	return layout >= record.LayoutConfiguration
}
