// Package record defines the schemas and keys of the data that controllers store in the
// key-value store: the membership view, the shard table, the records of machines, the
// states of jobs and their bitmaps of finished tasks, reservations and maintenance
// windows, and the dynamic configuration.
//
// The comments of this package use these terms:
//   - record: the value of one key of the store; its version changes with each write;
//   - lease, session: a key can be attached to a lease, with whose end it is deleted; the
//     lease under which a controller runs is its session;
//   - member, view, term: a controller in the current view; the view lists the members, and
//     each new view has the next higher number, its term;
//   - layout: the version of the form of the records; controllers use the highest one that
//     all of them support;
//   - shard, holder, shard table: a fixed part of the machines, the controller that sends
//     commands to their workers, and the record of all holders;
//   - epoch: in the shard table, a counter that rises with each change; of a machine's entry
//     in a block, the version of its record;
//   - fencing token: a number in each command to a worker; a worker refuses commands with a
//     lower token than it has received;
//   - agent epoch: the number of one incarnation of the agent that runs on a machine;
//   - single record, block: the record of one machine, and one with those of many machines;
//   - live job: an accepted job that is neither done nor cancelled;
//   - bitmap, chunk: a bit for each task of a job, set if the task is finished, and the part
//     of it in one record;
//   - entry, revision: in the dynamic configuration, the changed settings of one object, and
//     the number of a change of one or more entries;
//   - occurrence: one of the periods of a recurring reservation or maintenance window;
//   - idempotency key: an ID that a client chooses for a request and repeats with it;
//   - platform's file, operators' file: the settings files that controllers read at their start.
//
// The package has no state. It neither reads nor writes the store; package kvstore does.
// Keys, tags and numbers of constants are part of the stored data and never change; a new
// form of a record gets a new Layout.
package record
