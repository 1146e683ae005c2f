package operator

import (
	"context"
	"fmt"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/clock"
	"damsonkeel/internal/scale/rules"
)

// ruleConfiguration is the rule that every controller which holds a lease applies a change within
// config.ConfigPropagationLimit.
const ruleConfiguration rules.Rule = "configuration"

// pollRevision polls a controller for the revision in force there until the context ends.
func (o *Operator) pollRevision(ctx context.Context, name protocol.NodeName, addr string) {
	client := operatorapi.NewClient(o.key, []string{addr})
	for ctx.Err() == nil {
		requestedAt := clock.Now()
		requestCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		reply, err := client.Do(requestCtx, operatorapi.Request{Op: operatorapi.OpConfigStatus})
		cancel()
		if err == nil && reply.Config != nil {
			for _, c := range reply.Config.Controllers {
				if c.Name == name {
					o.recordRevision(c, requestedAt, clock.Now())
				}
			}
		}
		clock.Sleep(ctx, statusInterval)
	}
}

// recordRevision compares the revision in force at a controller with each change that was made. A
// change is in force at the controller if the controller applies it, or if the controller holds
// no lease and therefore cannot act by an earlier revision. Otherwise, the time from the response
// to the change until the request for the status shows how long the controller has applied an
// earlier revision.
func (o *Operator) recordRevision(status operatorapi.ConfigController, requestedAt, answeredAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, change := range o.changes {
		if status.Revision >= change.revision || !status.HoldsLease {
			if _, applied := change.appliedAt[status.Name]; !applied {
				change.appliedAt[status.Name] = max(answeredAt, change.answeredAt)
			}
			continue
		}
		stale := requestedAt - change.answeredAt
		o.longestStale = max(o.longestStale, stale)
		if stale > config.ConfigPropagationLimit {
			o.violations = append(o.violations, rules.Violation{Rule: ruleConfiguration, At: requestedAt, Detail: fmt.Sprintf("%s still applies revision %d, revision %d was made %v ago", status.Name, status.Revision, change.revision, stale)})
		}
	}
}
