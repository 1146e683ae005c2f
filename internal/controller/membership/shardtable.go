package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// observeTimeout is how long a written change of the shard table may take until the
	// watch delivers it.
	observeTimeout = 2 * time.Second
	// shardsRetryPause is how long after a failed write of the shard table the next one
	// is tried.
	shardsRetryPause = 100 * time.Millisecond
)

// ShardsTag marks a transaction that changes the holders or epochs of shards.
type ShardsTag struct{}

// AdoptShards installs a shard table.
func (ms *Members) AdoptShards(table *record.ShardTable, version protocol.Version) {
	ms.Shards = table
	ms.ShardsVersion = version
}

// ChangeShards writes what the dispatcher asks for: shards to be taken over by this
// controller, and shards of its own whose epoch is to rise. The transaction depends on
// the shard table and the view as they are known here. A table that was lost is written
// anew.
func (ms *Members) ChangeShards(take, raise []sharding.ID) {
	nothingToDo := len(take)+len(raise) == 0 && ms.ShardsVersion != 0
	if nothingToDo || !ms.mayWriteShards() {
		return
	}
	next := sharding.Copy(ms.Shards)
	sharding.RaiseEpochAbove(next, ms.HighestFencingToken)
	for _, id := range take {
		sharding.Assign(next, id, ms.Session)
	}
	for _, id := range raise {
		sharding.RaiseEpoch(next, id)
	}
	ms.writing = true
	ms.writtenOn = ms.ShardsVersion
	ms.writtenAt = ms.Now
	ms.Emit(message.Commit{Tag: ShardsTag{}, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{
			ms.ViewUnchanged(),
			{Key: record.ShardTableKey, Version: ms.ShardsVersion},
		},
		Changes: []protocol.Change{{Put: record.ShardTableKey, Value: *next}},
	}})
}

// mayWriteShards reports whether a change of the shard table may be sent now: this
// controller holds its lease, and the change before is answered and observed.
func (ms *Members) mayWriteShards() bool {
	if !ms.Sharded() || !ms.HoldsLease() || ms.writing || ms.Now < ms.retryAt {
		return false
	}
	unobserved := ms.writtenAt != 0 && ms.writtenOn == ms.ShardsVersion
	return !unobserved || ms.Since(ms.writtenAt) >= observeTimeout
}

// ShardsWritten handles the outcome of a change of the shard table. What counts is the
// table that the watch delivers.
func (ms *Members) ShardsWritten(outcome message.Outcome) {
	ms.writing = false
	if outcome != message.OutcomeDone {
		ms.retryAt = ms.After(shardsRetryPause)
		ms.writtenAt = 0
	}
}

// shardTableFor returns the shard table that goes with a new view: shards whose holders
// are not in it go to its members, all others stay. It is nil if nothing changes.
func (ms *Members) shardTableFor(view record.View) *record.ShardTable {
	table := ms.Shards
	if table == nil {
		table = sharding.InitialTable(ms.Settings.Site.Zones)
	}
	next := sharding.Copy(table)
	// Before there was a shard table, terms were used as fencing tokens.
	sharding.RaiseEpochAbove(next, max(ms.View.Term, ms.HighestFencingToken))
	moves := sharding.Orphans(table, sharding.Loads(table, ms.machinesByZone()), ms.shardHolders(view, table))
	if len(moves) == 0 && table == ms.Shards {
		return nil
	}
	for _, move := range moves {
		sharding.Assign(next, move.ID, move.To)
	}
	return next
}

// shardHolders lists the members of a view. Those that are to hold no shards have no
// weight.
func (ms *Members) shardHolders(view record.View, table *record.ShardTable) []sharding.Member {
	var list []sharding.Member
	zones := ms.zones()
	for name, session := range view.Members {
		member := sharding.Member{Name: name, Session: session, Zone: zones[name], Weight: 1}
		if unreachable(view, name) || ms.leaving(name) || slices.Contains(table.Away, name) {
			member.Weight = 0
		}
		list = append(list, member)
	}
	return list
}

// machinesByZone counts the registered machines.
func (ms *Members) machinesByZone() map[protocol.Zone]int {
	count := map[protocol.Zone]int{}
	for _, machine := range ms.Records {
		count[machine.Record.Zone]++
	}
	return count
}
