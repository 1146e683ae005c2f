package membership

import (
	"slices"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// SharesTag marks a transaction that changes who keeps which shares.
type SharesTag struct{}

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

// weighed lists the members of a view that may keep shares; weight tells of what
// each can do.
func (ms *Members) weighed(v record.View, weight func(protocol.NodeName) float64) []sharding.Member {
	var list []sharding.Member
	zones := ms.zones()
	for name, session := range v.Members {
		list = append(list, sharding.Member{Name: name, Session: session, Zone: zones[name], Weight: weight(name)})
	}
	return list
}

// sharesFor is the record of the shares that goes with a new view: what is kept by
// nobody in it goes to its members, all else stays; nil if nothing changes.
func (ms *Members) sharesFor(v record.View) *record.Shares {
	s := ms.Shares
	if s == nil {
		s = sharding.First(ms.Settings.Site.Zones)
	}
	next := sharding.Copy(s)
	sharding.Above(next, max(ms.View.Term, ms.Highest)) // tokens of terms, before there were shares
	keeps := func(name protocol.NodeName) float64 {
		if len(v.Deaf) < len(v.Members) && slices.Contains(v.Deaf, name) || ms.leaving(name) || slices.Contains(s.Away, name) {
			return 0
		}
		return 1
	}
	to := sharding.Orphans(s, sharding.Loads(s, ms.machinesByZone()), ms.weighed(v, keeps))
	if len(to) == 0 && s == ms.Shares {
		return nil
	}
	for _, m := range to {
		sharding.Give(next, m.ID, m.To)
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
func (ms *Members) loads() []float64 { return sharding.Loads(ms.Shares, ms.machinesByZone()) }

// ChangeShares writes what a keeper asks for: shares to be taken by this
// controller, and shares of its own whose epoch is to rise. It holds only on the
// record and the view as they are known here. A record that has been lost is written
// again.
func (ms *Members) ChangeShares(take, raise []sharding.ID) {
	if len(take)+len(raise) == 0 && ms.SharesVersion != 0 || !ms.Sharing() || !ms.Acting() || ms.writing || ms.Now < ms.retry ||
		ms.wroteAt != 0 && ms.wrote == ms.SharesVersion && ms.Since(ms.wroteAt) < followWithin {
		return
	}
	next := sharding.Copy(ms.Shares)
	sharding.Above(next, ms.Highest)
	for _, id := range take {
		sharding.Give(next, id, ms.Session)
	}
	for _, id := range raise {
		sharding.Raise(next, id)
	}
	ms.writing, ms.wrote, ms.wroteAt = true, ms.SharesVersion, ms.Now
	ms.Do(message.Commit{Tag: SharesTag{}, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: record.ViewKey, Version: ms.ViewVersion},
			{Key: record.SharesKey, Version: ms.SharesVersion},
		},
		Then: []protocol.Change{{Put: record.SharesKey, Value: *next}},
	}})
}

// SharesWritten takes the outcome of a change of the shares: what is in the records
// counts.
func (ms *Members) SharesWritten(out message.Outcome) {
	ms.writing = false
	if out != message.OutcomeDone {
		ms.retry, ms.wroteAt = ms.After(100*time.Millisecond), 0
	}
}

// SharesFloor is how far all other members are known to have followed the record of
// the shares.
func (ms *Members) SharesFloor() protocol.Term {
	floor := ms.SharesEpoch()
	for name, p := range ms.peers {
		if name != ms.Self {
			floor = min(floor, p.shares)
		}
	}
	return floor
}
