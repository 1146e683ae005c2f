package main

import (
	"context"
	"fmt"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

// statusInterval is the pause between reads of the applied revisions while waiting for a
// change to be in force.
const statusInterval = 300 * time.Millisecond

// awaitInForce waits until no controller acts on a revision before the change any more, and
// returns a text that says why: all members have applied the change, or the time for which
// a controller may act on an earlier revision is over.
func awaitInForce(client *clientFlags, change *operatorapi.ConfigReply) string {
	start := time.Now()
	limit := config.Seconds(change.WithinS)
	for time.Since(start) < limit {
		if allApplied(client, change.Revision, limit-time.Since(start)) {
			return fmt.Sprintf("in force: all members act by it after %.1f s", time.Since(start).Seconds())
		}
		time.Sleep(statusInterval)
	}
	return fmt.Sprintf("in force: after %.1f s no controller can act by an earlier revision any more", limit.Seconds())
}

// allApplied reports whether all members have applied a revision or a later one, according
// to a controller. It returns false if no controller replies within the timeout.
func allApplied(client *clientFlags, revision record.ConfigurationRevision, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := client.sendWithContext(ctx, operatorapi.Request{Op: operatorapi.OpConfigStatus})
	if err != nil || reply.Config == nil {
		return false
	}
	for _, c := range reply.Config.Controllers {
		if c.Member && c.Revision < revision {
			return false
		}
	}
	return len(reply.Config.Controllers) > 0
}
