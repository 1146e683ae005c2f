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
	// maxLimitIncrease bounds how far a changed limit is above the configured one, as a
	// fraction of it.
	maxLimitIncrease = 0.5
	// minGuaranteeFraction bounds how far a changed guarantee is below the configured one.
	minGuaranteeFraction = 0.5
	// minIdleReturnS and idleReturnRangeS bound the idle time that is set.
	minIdleReturnS   = 3000
	idleReturnRangeS = 600
)

// change is a change of the configuration that was made.
type change struct {
	revision                record.ConfigurationRevision
	requestedAt, answeredAt time.Duration
	appliedAt               map[protocol.NodeName]time.Duration // first seen in force or harmless, by controller
	limit                   *rules.LimitChange
}

// randomChange draws a change: of a limit, a guarantee or a setting, in turn.
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

// makeChange sends a change to the controllers until one has made it.
func (o *Operator) makeChange(ctx context.Context, id string, requested operatorapi.ConfigChange, limit *rules.LimitChange) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var addresses []string
	for _, addr := range o.addresses {
		addresses = append(addresses, addr)
	}
	made := &change{requestedAt: clock.Now(), appliedAt: map[protocol.NodeName]time.Duration{}, limit: limit}
	reply, err := operatorapi.NewClient(o.key, addresses).Do(ctx, operatorapi.Request{
		Op: operatorapi.OpConfigure, ID: id, Config: &operatorapi.ConfigRequest{Changes: []operatorapi.ConfigChange{requested}},
	})
	made.answeredAt = clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || reply.Code != operatorapi.Done || reply.Config == nil {
		o.failed++
		return
	}
	made.revision = reply.Config.Revision
	o.changes = append(o.changes, made)
	metrics.Observe(o.answerTimes, made.answeredAt-made.requestedAt)
}
