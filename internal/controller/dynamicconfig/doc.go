// Package dynamicconfig maintains the configuration in force: the platform's file,
// overridden by the changes that operators make while controllers run. It applies each
// revision of the configuration records atomically, and decides on requested changes.
//
// The package owns the records of the configuration that a controller has read, and the
// Effective configuration that results from them. It has no clock, sends no messages and
// writes no record: its caller executes the transaction of a Plan.
//
// Terms:
//   - platform's file: the configuration file of the platform, the same on all controllers,
//     with teams, objectives and zones; operators' file: the file with the operators'
//     settings.
//   - entry: the configuration of one team, class of jobs, zone, machine type or setting; it
//     overrides the files. An entry that was reset overrides nothing.
//   - revision: one accepted change of one or more entries, with its number.
//   - in force: of the last revision all of whose records this controller has read.
//   - guarantee and limit of a team: the processors and GPUs that its tasks can count on, and
//     the most that they may use.
//   - closed team: accepts no new jobs. Closed zone or machine type: cordoned, its machines
//     accept no new tasks.
package dynamicconfig
