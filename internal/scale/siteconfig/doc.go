// Package siteconfig reads and validates the description of a scale run: the size and
// topology of the cluster, its load and the faults that are injected. It also derives
// the settings of the controllers and the names of zones and teams from that description.
//
// A Site is not changed after it was read; the package holds no other state.
//
// Terms of the comments:
//   - region and zone: locations of controllers and machines; each zone belongs to one region
//   - state service and cloud: the simulated services that store the controllers' records and
//     provision machines
//   - worker: the simulated agent of one machine, which runs the machine's tasks
//   - team: the owner of jobs, with a guarantee and a limit in processors
//   - class: the name of a group of jobs with the same properties, such as "urgent"
//   - fault: a disturbance that the run injects, such as killed machines
package siteconfig
