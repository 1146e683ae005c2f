// Package operatorrequest decides on operators' requests about reservations, maintenance
// windows, the dynamic configuration and the placement of shards.
//
// A decision is a reply and, for most changes, a transaction on the key-value store; the
// caller commits the transaction before it sends the reply. Requests may be repeated: a
// request that was carried out before is recognised by its ID and gets the same result.
//
// The package owns no state. It reads the calendar, the configuration, the view, the shard
// table, the wait table and the risks reported by the reservation planner. The source of
// truth for its decisions is the records, whose versions are conditions of its
// transactions. It must not change any of this state itself; it passes requested moves of
// shards to package membership.
//
// Terms: an entry of the calendar is a reservation or a window; an entry of the
// configuration is a team, class, zone, machine type or setting. A revision is one accepted
// change of the configuration. A shard is a part of the machines, which one controller, its
// holder, serves; on the wire it is called a share. A controller is cordoned if it is to hold
// no shards. A dry run is decided but changes nothing.
package operatorrequest
