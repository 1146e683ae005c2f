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

// ruleConfiguration is the rule that revisions are in force in time.
const ruleConfiguration rules.Rule = "configuration"

// watch queries a controller for the revision in force there until the context ends.
func (o *Operator) watch(ctx context.Context, name protocol.NodeName, addr string) {
	client := operatorapi.NewClient(o.key, []string{addr})
	for ctx.Err() == nil {
		requestedAt := clock.Now()
		requestCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		reply, err := client.Do(requestCtx, operatorapi.Request{Op: operatorapi.OpConfigStatus})
		cancel()
		if err == nil && reply.Config != nil {
			for _, c := range reply.Config.Controllers {
				if c.Name == name {
					o.recordStatus(c, requestedAt, clock.Now())
				}
			}
		}
		clock.Sleep(ctx, statusInterval)
	}
}

// recordStatus records which revision is in force at a controller, as requested and
// answered at two times.
func (o *Operator) recordStatus(c operatorapi.ConfigController, requestedAt, answeredAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, made := range o.changes {
		if c.Revision >= made.revision || !c.HoldsLease {
			if _, applied := made.appliedAt[c.Name]; !applied {
				made.appliedAt[c.Name] = max(answeredAt, made.answeredAt)
			}
			continue
		}
		stale := requestedAt - made.answeredAt
		o.longestStale = max(o.longestStale, stale)
		if stale > config.ConfigPropagationLimit {
			o.violations = append(o.violations, rules.Violation{Rule: ruleConfiguration, At: requestedAt, Detail: fmt.Sprintf("%s acts by revision %d, %d was made %v ago", c.Name, c.Revision, made.revision, stale)})
		}
	}
}
