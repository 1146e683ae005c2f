package siteconfig

// FaultKind is the kind of a fault, as site files and results name it.
type FaultKind string

// The kinds of faults.
const (
	// FaultKillController kills Count controllers at once.
	FaultKillController FaultKind = "kill_controller"
	// FaultKillAllControllers kills all controllers, one every EveryS.
	FaultKillAllControllers FaultKind = "kill_all"
	// FaultPauseController pauses the processes of Count controllers for ForS.
	FaultPauseController FaultKind = "stop_controller"
	// FaultPauseZone pauses the shared worker process of a zone for ForS.
	FaultPauseZone FaultKind = "stop_zone"
	// FaultPartitionRegion partitions a region from all other regions and from the services
	// for ForS.
	FaultPartitionRegion FaultKind = "cut_region"
	// FaultKillMachines kills Count machines with their workers and tasks.
	FaultKillMachines FaultKind = "machines_die"
	// FaultRestartWorkers restarts one worker every EveryS for ForS.
	FaultRestartWorkers FaultKind = "restart_workers"
)

// Fault is a fault that is injected into a run at AtS, in seconds since the start of the run. Its
// kind determines which of EveryS, Count, Zone and Region apply. The effect of every fault is
// measured from its injection, and its recovery from ForS seconds later; for
// FaultKillAllControllers, EveryS times the number of controllers takes the place of ForS.
type Fault struct {
	AtS    float64   `toml:"at_s"`
	Kind   FaultKind `toml:"kind"`
	ForS   float64   `toml:"for_s"`
	EveryS float64   `toml:"every_s"`
	Count  int       `toml:"count"`
	Zone   int       `toml:"zone"`   // counted from 0
	Region int       `toml:"region"` // counted from 0
}
