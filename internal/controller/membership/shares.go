package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// ShardsTag marks a transaction that changes who keeps which shares.
type ShardsTag struct{}

// followWithin is how long a change that was written takes to be followed.
const followWithin = 2 * time.Second

// zones tells the zone of each controller, as the settings have it.
func (ms *Members) zones() map[protocol.NodeName]protocol.Zone {
	zones := map[protocol.NodeName]protocol.Zone{ms.Self: ms.Settings.Zone}
	for _, m := range ms.Settings.Members {
		zones[m.Name] = m.Zone
	}
	return zones
}

// weightedMembers lists the members of a view that may keep shares; weight tells of what
// each can do.
func (ms *Members) weightedMembers(v record.View, weight func(protocol.NodeName) float64) []sharding.Member {
	var list []sharding.Member
	zones := ms.zones()
	for name, session := range v.Members {
		list = append(list, sharding.Member{Name: name, Session: session, Zone: zones[name], Weight: weight(name)})
	}
	return list
}

// shardsFor is the record of the shares that goes with a new view: what is kept by
// nobody in it goes to its members, all else stays; nil if nothing changes.
func (ms *Members) shardsFor(v record.View) *record.ShardTable {
	s := ms.Shards
	if s == nil {
		s = sharding.InitialTable(ms.Settings.Site.Zones)
	}
	next := sharding.Copy(s)
	sharding.RaiseEpochAbove(next, max(ms.View.Term, ms.HighestToken)) // tokens of terms, before there were shares
	keeps := func(name protocol.NodeName) float64 {
		if len(v.Deaf) < len(v.Members) && slices.Contains(v.Deaf, name) || ms.leaving(name) || slices.Contains(s.Away, name) {
			return 0
		}
		return 1
	}
	to := sharding.Orphans(s, sharding.Loads(s, ms.machinesByZone()), ms.weightedMembers(v, keeps))
	if len(to) == 0 && s == ms.Shards {
		return nil
	}
	for _, m := range to {
		sharding.Assign(next, m.ID, m.To)
	}
	return next
}

// machinesByZone counts the registered machines.
func (ms *Members) machinesByZone() map[protocol.Zone]int {
	n := map[protocol.Zone]int{}
	for _, m := range ms.Records {
		n[m.Record.Zone]++
	}
	return n
}

// loads is the load of each share.
func (ms *Members) loads() []float64 { return sharding.Loads(ms.Shards, ms.machinesByZone()) }

// ChangeShards writes what a keeper asks for: shares to be taken by this
// controller, and shares of its own whose epoch is to rise. It holds only on the
// record and the view as they are known here. A record that has been lost is written
// retry.
func (ms *Members) ChangeShards(take, raise []sharding.ID) {
	if len(take)+len(raise) == 0 && ms.ShardsVersion != 0 || !ms.Sharded() || !ms.HoldsLease() || ms.writing || ms.Now < ms.retry ||
		ms.wroteAt != 0 && ms.wrote == ms.ShardsVersion && ms.Since(ms.wroteAt) < followWithin {
		return
	}
	next := sharding.Copy(ms.Shards)
	sharding.RaiseEpochAbove(next, ms.HighestToken)
	for _, id := range take {
		sharding.Assign(next, id, ms.Session)
	}
	for _, id := range raise {
		sharding.RaiseToken(next, id)
	}
	ms.writing, ms.wrote, ms.wroteAt = true, ms.ShardsVersion, ms.Now
	ms.Emit(message.Commit{Tag: ShardsTag{}, Txn: protocol.Transaction{
		Conditions: []protocol.Condition{
			{Key: record.ViewKey, Version: ms.ViewVersion},
			{Key: record.ShardTableKey, Version: ms.ShardsVersion},
		},
		Changes: []protocol.Change{{Put: record.ShardTableKey, Value: *next}},
	}})
}

// ShardsWritten takes the outcome of a change of the shares: what is in the records
// counts.
func (ms *Members) ShardsWritten(out message.Outcome) {
	ms.writing = false
	if out != message.OutcomeDone {
		ms.retry, ms.wroteAt = ms.After(100*time.Millisecond), 0
	}
}

// ShardsFloor is how far all other members are known to have followed the record of
// the shares.
func (ms *Members) ShardsFloor() protocol.Term {
	floor := ms.ShardTableEpoch()
	for name, p := range ms.peers {
		if name != ms.Self {
			floor = min(floor, p.shardsEpoch)
		}
	}
	return floor
}
