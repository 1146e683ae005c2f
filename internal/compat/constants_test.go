package compat

import (
	"testing"

	peers "damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestNumericConstants checks the values of constants that are sent or stored as numbers.
func TestNumericConstants(t *testing.T) {
	for _, number := range []struct {
		name      string
		got, want int
	}{
		{"event: present", int(peers.EventPresent), 1},
		{"event: running", int(peers.EventRunning), 2},
		{"event: ended", int(peers.EventEnded), 3},
		{"event: released", int(peers.EventReleased), 4},
		{"event: notice", int(peers.EventNotice), 5},

		{"batch: accepted", int(peers.BatchAccepted), 1},
		{"batch: behind", int(peers.BatchBehind), 2},
		{"batch: stale", int(peers.BatchStale), 3},
		{"batch: excluded", int(peers.BatchExcluded), 4},

		{"silence: none", int(peers.SilenceNone), 0},
		{"silence: some", int(peers.SilenceSome), 1},
		{"silence: long", int(peers.SilenceLong), 2},

		{"layout: single", int(record.LayoutSingle), 1},
		{"layout: blocks", int(record.LayoutBlocks), 2},
		{"layout: shares", int(record.LayoutShards), 3},
		{"layout: configuration", int(record.LayoutConfiguration), 4},
		{"layout: latest", int(record.LatestLayout), 4},

		{"level: best effort", int(resource.LevelOf("best_effort", false)), 0},
		{"level: standard", int(resource.LevelOf("standard", false)), 1},
		{"level: high", int(resource.LevelOf("high", false)), 2},
		{"level: production", int(resource.LevelOf("production", false)), 3},
		{"level: guaranteed best effort", int(resource.LevelOf("best_effort", true)), 4},
		{"level: guaranteed production", int(resource.LevelOf("production", true)), 7},
		{"number of levels", resource.Levels, 8},

		{"tasks per bitmap chunk", record.ChunkTasks, 32768},
		{"maximum number of tasks of a job", protocol.MaxTasks, 100_000},
		{"changes in the configuration history", record.ConfigurationHistory, 200},
		{"request ids in the configuration record", record.ConfigurationRequests, 64},
	} {
		if number.got != number.want {
			t.Errorf("%s is %d, want %d", number.name, number.got, number.want)
		}
	}
}

// TestTextConstants checks the values of constants that are sent or stored as text.
func TestTextConstants(t *testing.T) {
	for _, word := range []struct{ got, want string }{
		{string(protocol.TaskFetching), "fetching"},
		{string(protocol.TaskWaiting), "gathering"},
		{string(protocol.TaskRunning), "running"},
		{string(protocol.TaskSaving), "saving"},
		{string(protocol.TaskEnded), "ended"},

		{string(protocol.EndDone), "done"},
		{string(protocol.EndStopped), "stopped"},
		{string(protocol.EndGangLost), "mates_gone"},
		{string(protocol.EndIncomplete), "incomplete"},
		{string(protocol.EndError), "error"},
		{string(protocol.EndFull), "full"},
		{string(protocol.EndInUse), "in_use"},
		{string(protocol.EndUnknown), "unknown"},

		{string(protocol.OpStart), "start"},
		{string(protocol.OpStop), "kill"},
		{string(protocol.OpForget), "reap"},

		{string(protocol.KindJobArray), "batch"},
		{string(protocol.KindGang), "gang"},
		{string(protocol.KindService), "standing"},

		{string(protocol.JobQueued), "queued"},
		{string(protocol.JobRunning), "running"},
		{string(protocol.JobDone), "done"},
		{string(protocol.JobCancelled), "aborted"},

		{record.RecordLive, "live"},
		{record.RecordDone, "done"},
		{record.RecordCancelled, "aborted"},

		{string(record.Proposed), "proposed"},
		{string(record.Accepted), "accepted"},
		{string(record.Holding), "holding"},
		{string(record.Used), "used"},
		{string(record.Expired), "expired"},
		{string(record.Cancelled), "cancelled"},

		{string(record.EntryTeam), "team"},
		{string(record.EntryClass), "class"},
		{string(record.EntryZone), "zone"},
		{string(record.EntryType), "type"},
		{string(record.EntrySetting), "setting"},

		{operatorapi.Path, "/operator/v1"},
		{string(operatorapi.OpAdd), "add"},
		{string(operatorapi.OpList), "list"},
		{string(operatorapi.OpShow), "show"},
		{string(operatorapi.OpCancel), "cancel"},
		{string(operatorapi.OpShares), "shares"},
		{string(operatorapi.OpMove), "move"},
		{string(operatorapi.OpAway), "away"},
		{string(operatorapi.OpConfig), "config"},
		{string(operatorapi.OpConfigure), "configure"},
		{string(operatorapi.OpConfigHistory), "config_history"},
		{string(operatorapi.OpConfigStatus), "config_status"},

		{string(operatorapi.Done), "done"},
		{string(operatorapi.Refused), "refused"},
		{string(operatorapi.NotFound), "not_found"},
		{string(operatorapi.Denied), "denied"},
		{string(operatorapi.RetryLater), "later"},
	} {
		if word.got != word.want {
			t.Errorf("constant is %q, want %q", word.got, word.want)
		}
	}
}
