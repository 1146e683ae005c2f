package operator

import (
	"context"
	"fmt"
	"math"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/metrics"
	"damsonkeel/internal/scale/rules"
)

const (
	// maxLimitIncrease is the largest increase of a limit, as a fraction of the configured
	// limit.
	maxLimitIncrease = 0.5
	// minGuaranteeFraction is the smallest changed guarantee, as a fraction of the configured
	// guarantee.
	minGuaranteeFraction = 0.5
	// minIdleReturnS is the smallest value to which the idleReturn setting is changed, and
	// idleReturnRangeS the size of the range of values above it.
	minIdleReturnS   = 3000
	idleReturnRangeS = 600
)

// configChange is a change of the configuration that the controllers have accepted.
type configChange struct {
	revision                record.ConfigurationRevision
	requestedAt, answeredAt time.Duration
	appliedAt               map[protocol.NodeName]time.Duration // by controller; see recordRevision
	limit                   *rules.LimitChange                  // nil if the change does not concern a limit
}

// randomChange returns the i-th change of a random team: two of four changes concern the limit,
// one the guarantee and one the idleReturn setting, which is also changed if the team has no
// limit. The second result is nil if the change does not concern a limit.
func (o *Operator) randomChange(i int) (operatorapi.ConfigChange, *rules.LimitChange) {
	names := o.site.TeamNames()
	team := names[o.rng.IntN(len(names))]
	configured, _ := o.settings.Team(team)
	switch i % 4 {
	case 0, 1:
		if configured.MaxCPUs > 0 {
			limit := math.Round(configured.MaxCPUs * (1 + maxLimitIncrease*o.rng.Float64()))
			return operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntryTeam, string(team)), MaxCPUs: &limit}, &rules.LimitChange{Team: team, MaxCPUs: limit}
		}
	case 2:
		guarantee := math.Round(configured.CPUs * (minGuaranteeFraction + (1-minGuaranteeFraction)*o.rng.Float64()))
		return operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntryTeam, string(team)), CPUs: &guarantee}, nil
	}
	value := record.SettingText(fmt.Sprintf("%ds", minIdleReturnS+o.rng.IntN(idleReturnRangeS)))
	return operatorapi.ConfigChange{Entry: record.NewEntryID(record.EntrySetting, "idleReturn"), Value: &value}, nil
}

// sendChange sends a change to the controllers until one of them has carried it out, and records
// the outcome: the change with its revision, or one failed change if it was rejected or not carried
// out within changeTimeout.
func (o *Operator) sendChange(ctx context.Context, id string, requested operatorapi.ConfigChange, limit *rules.LimitChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var addresses []string
	for _, addr := range o.addresses {
		addresses = append(addresses, addr)
	}
	change := &configChange{requestedAt: clock.Now(), appliedAt: map[protocol.NodeName]time.Duration{}, limit: limit}
	reply, err := operatorapi.NewClient(o.key, addresses).Do(ctx, operatorapi.Request{
		Op: operatorapi.OpConfigure, ID: id, Config: &operatorapi.ConfigRequest{Changes: []operatorapi.ConfigChange{requested}},
	})
	change.answeredAt = clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || reply.Code != operatorapi.Done || reply.Config == nil {
		o.failedChanges++
		return
	}
	change.revision = reply.Config.Revision
	o.changes = append(o.changes, change)
	metrics.Observe(o.answerTimes, change.answeredAt-change.requestedAt)
}
