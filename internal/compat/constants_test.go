package compat

import (
	"testing"

	"damsonkeel/internal/bookkeeping"
	peers "damsonkeel/internal/coordination/message"
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/operators"
	"damsonkeel/internal/protocol"
)

// TestNumbers checks constants that are sent or stored as numbers.
func TestNumbers(t *testing.T) {
	for _, number := range []struct {
		name      string
		got, want int
	}{
		{"event: present", int(peers.WhatPresent), 1},
		{"event: running", int(peers.WhatRunning), 2},
		{"event: ended", int(peers.WhatEnded), 3},
		{"event: released", int(peers.WhatReleased), 4},
		{"event: notice", int(peers.WhatNotice), 5},

		{"batch: taken", int(peers.BatchTaken), 1},
		{"batch: behind", int(peers.BatchBehind), 2},
		{"batch: stale", int(peers.BatchStale), 3},
		{"batch: passed", int(peers.BatchPassed), 4},

		{"silence: none", int(peers.SilenceNone), 0},
		{"silence: some", int(peers.SilenceSome), 1},
		{"silence: long", int(peers.SilenceLong), 2},

		{"layout: single", int(bookkeeping.LayoutSingle), 1},
		{"layout: blocks", int(bookkeeping.LayoutBlocks), 2},
		{"layout: shares", int(bookkeeping.LayoutShares), 3},
		{"layout: configuration", int(bookkeeping.LayoutConfiguration), 4},
		{"layout: latest", int(bookkeeping.LatestLayout), 4},

		{"level: best effort", int(room.LevelOf("best_effort", false)), 0},
		{"level: standard", int(room.LevelOf("standard", false)), 1},
		{"level: high", int(room.LevelOf("high", false)), 2},
		{"level: production", int(room.LevelOf("production", false)), 3},
		{"level: guaranteed best effort", int(room.LevelOf("best_effort", true)), 4},
		{"level: guaranteed production", int(room.LevelOf("production", true)), 7},
		{"levels", room.Levels, 8},

		{"tasks of a chunk", bookkeeping.ChunkTasks, 32768},
		{"tasks of a job", protocol.MaxTasks, 100_000},
		{"changes in the history", bookkeeping.ConfigurationHistory, 200},
		{"requests in the revision's record", bookkeeping.ConfigurationRequests, 64},
	} {
		if number.got != number.want {
			t.Errorf("%s is %d, want %d", number.name, number.got, number.want)
		}
	}
}

// TestWords checks constants that are sent or stored as text.
func TestWords(t *testing.T) {
	for _, word := range []struct{ got, want string }{
		{string(protocol.TaskFetching), "fetching"},
		{string(protocol.TaskWaiting), "gathering"},
		{string(protocol.TaskRunning), "running"},
		{string(protocol.TaskSaving), "saving"},
		{string(protocol.TaskEnded), "ended"},

		{string(protocol.EndDone), "done"},
		{string(protocol.EndStopped), "stopped"},
		{string(protocol.EndMatesGone), "mates_gone"},
		{string(protocol.EndIncomplete), "incomplete"},
		{string(protocol.EndError), "error"},
		{string(protocol.EndFull), "full"},
		{string(protocol.EndInUse), "in_use"},
		{string(protocol.EndUnknown), "unknown"},

		{string(protocol.OpStart), "start"},
		{string(protocol.OpStop), "kill"},
		{string(protocol.OpForget), "reap"},

		{string(protocol.KindArray), "batch"},
		{string(protocol.KindGang), "gang"},
		{string(protocol.KindService), "standing"},

		{string(protocol.JobQueued), "queued"},
		{string(protocol.JobRunning), "running"},
		{string(protocol.JobDone), "done"},
		{string(protocol.JobCancelled), "aborted"},

		{bookkeeping.RecordLive, "live"},
		{bookkeeping.RecordDone, "done"},
		{bookkeeping.RecordCancelled, "aborted"},

		{string(bookkeeping.Proposed), "proposed"},
		{string(bookkeeping.Accepted), "accepted"},
		{string(bookkeeping.Holding), "holding"},
		{string(bookkeeping.Used), "used"},
		{string(bookkeeping.Expired), "expired"},
		{string(bookkeeping.Cancelled), "cancelled"},

		{string(bookkeeping.EntryTeam), "team"},
		{string(bookkeeping.EntryClass), "class"},
		{string(bookkeeping.EntryZone), "zone"},
		{string(bookkeeping.EntryType), "type"},
		{string(bookkeeping.EntrySetting), "setting"},

		{operators.Path, "/operator/v1"},
		{string(operators.OpAdd), "add"},
		{string(operators.OpList), "list"},
		{string(operators.OpShow), "show"},
		{string(operators.OpCancel), "cancel"},
		{string(operators.OpShares), "shares"},
		{string(operators.OpMove), "move"},
		{string(operators.OpAway), "away"},
		{string(operators.OpConfig), "config"},
		{string(operators.OpConfigure), "configure"},
		{string(operators.OpConfigHistory), "config_history"},
		{string(operators.OpConfigStatus), "config_status"},

		{string(operators.Done), "done"},
		{string(operators.Refused), "refused"},
		{string(operators.NotFound), "not_found"},
		{string(operators.Denied), "denied"},
		{string(operators.Later), "later"},
	} {
		if word.got != word.want {
			t.Errorf("%q, want %q", word.got, word.want)
		}
	}
}
