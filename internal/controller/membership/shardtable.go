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
	// observeTimeout is how long to wait for the watch to deliver a written change of the
	// shard table before another change may be sent.
	observeTimeout = 2 * time.Second
	// shardsRetryPause is the time between a failed write of the shard table and the
	// next attempt.
	shardsRetryPause = 100 * time.Millisecond
)

// ShardTableTag marks a transaction that changes the holders or epochs of shards: its outcome is
// passed to ShardsWritten.
type ShardTableTag struct{}

// AdoptShardTable installs a shard table that was read from the key-value store, and the version
// of its record.
func (ms *Members) AdoptShardTable(table *record.ShardTable, version protocol.Version) {
	ms.Shards = table
	ms.ShardsVersion = version
}

// ChangeShards writes the changes that the dispatcher requests: this controller becomes
// the holder of the shards in takeOver, and the epochs of its own shards in raiseEpoch
// rise. All new epochs are above every fencing token that a worker has reported. The
// transaction is conditional on the shard table and the view that this controller has
// observed. If the record of the table was deleted, it is written anew. Nothing is sent if
// there is no change to make or mayWriteShards is false: the dispatcher repeats its request.
func (ms *Members) ChangeShards(takeOver, raiseEpoch []sharding.ID) {
	nothingToDo := len(takeOver)+len(raiseEpoch) == 0 && ms.ShardsVersion != 0
	if nothingToDo || !ms.mayWriteShards() {
		return
	}
	next := sharding.Copy(ms.Shards)
	sharding.RaiseEpochAbove(next, ms.HighestFencingToken)
	taken := make([]sharding.Move, 0, len(takeOver))
	for _, id := range takeOver {
		taken = append(taken, sharding.Move{Shard: id, To: ms.Session})
	}
	sharding.AssignAll(next, taken)
	sharding.RaiseEpochs(next, raiseEpoch)
	ms.writeInFlight = true
	ms.lastWriteBase = ms.ShardsVersion
	ms.lastWriteAt = ms.Now
	ms.Emit(message.Commit{Tag: ShardTableTag{}, Transaction: protocol.Transaction{
		Conditions: []protocol.Condition{
			ms.ViewUnchanged(),
			{Key: record.ShardTableKey, Version: ms.ShardsVersion},
		},
		Changes: []protocol.Change{{Put: record.ShardTableKey, Value: *next}},
	}})
}

// mayWriteShards reports whether a change of the shard table may be sent now: the table is in
// use, this controller holds its lease, no transaction on the view or the table is in flight,
// the pause after a failed one has passed, and the watch has delivered the previous change of
// this controller or observeTimeout has passed since it was sent.
func (ms *Members) mayWriteShards() bool {
	if !ms.Sharded() || !ms.HoldsLease() || ms.writeInFlight || ms.Now < ms.retryAt {
		return false
	}
	unobserved := ms.lastWriteAt != 0 && ms.lastWriteBase == ms.ShardsVersion
	return !unobserved || ms.Since(ms.lastWriteAt) >= observeTimeout
}

// ShardsWritten ends the transaction of a change of the shard table, so that the next one may be
// sent: after a success once the watch has delivered the change, after a failure or an unknown
// outcome in shardsRetryPause. It does not install the new table: the watch delivers it.
func (ms *Members) ShardsWritten(outcome message.Outcome) {
	ms.writeInFlight = false
	if outcome != message.OutcomeDone {
		ms.retryAt = ms.After(shardsRetryPause)
		ms.lastWriteAt = 0
	}
}

// shardTableFor returns the shard table for a new view. Shards whose holders are not in
// the view, or should hold no shards (see shardHolders), are assigned to members of the view;
// all others keep their holders. It returns nil if the table exists and no shard changes.
func (ms *Members) shardTableFor(view record.View) *record.ShardTable {
	table := ms.Shards
	if table == nil {
		table = sharding.InitialTable(ms.Settings.Site.Zones)
	}
	next := sharding.Copy(table)
	// Before there was a shard table, terms were used as fencing tokens.
	sharding.RaiseEpochAbove(next, max(ms.View.Term, ms.HighestFencingToken))
	moves := sharding.OrphanMoves(table, sharding.Loads(table, ms.machinesByZone()), ms.shardHolders(view, table))
	if len(moves) == 0 && table == ms.Shards {
		return nil
	}
	sharding.AssignAll(next, moves)
	return next
}

// shardHolders lists the members of a view with the weights by which shards are assigned to
// them: 0 for members that are unreachable, shutting down or cordoned, else 1.
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

// machinesByZone counts the registered machines of each zone.
func (ms *Members) machinesByZone() map[protocol.Zone]int {
	count := map[protocol.Zone]int{}
	for _, machine := range ms.Records {
		count[machine.Record.Zone]++
	}
	return count
}
