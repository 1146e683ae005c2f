// Package operatorapi defines the requests that operators' commands send to controllers,
// the replies, the seal that authenticates requests, and the client that sends them.
//
// Controllers and the command line both use the package. It has no state except the
// client's connections, and does not decide on requests. Field tags and the values of Op
// and Code are the wire format and the keys of the command line's JSON output, so they
// never change.
//
// Terms of the comments:
//   - operator: a person who administers the cluster, authenticated by a key of the keys file.
//   - entry of the calendar: a reservation (resources held for tasks in a period) or a
//     maintenance window (a period in which the machines that it covers are serviced); an
//     occurrence is one of the periods of an entry that recurs.
//   - shard: a part of the machines of one zone, which one controller at a time, its holder,
//     manages. It is named share in requests and output.
//   - epoch of a shard: its fencing token, a number in commands to its machines.
//   - cordon: a controller that is cordoned may hold no shards; a zone or machine type that
//     is cordoned (Closed) gets no tasks and no new machines. A closed team gets no new jobs.
//   - configuration: the settings that operators change while controllers run. An entry of
//     it is a team, a class of jobs, a zone, a machine type or a setting. Each change creates
//     a revision, a number; the revision in force is the one that a controller acts on.
//   - view: the record that lists the controllers that take part, its members.
//   - lease of a controller: its right to act, which ends unless it is renewed in time.
package operatorapi
