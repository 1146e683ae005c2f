package message

import (
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MachineState is the state of a machine that its dispatcher publishes to all peers
// whenever it changes.
type MachineState struct {
	Machine protocol.MachineID
	// Epoch is the version of the machine's record. 0: the machine's current agent epoch is
	// not registered yet, and all fields but Machine are unset.
	Epoch    protocol.Version
	Wait     float64   // expected wait: run times of its attempts times their processors, in processor seconds
	Queue    []float64 // the part of Wait that was never sent to the worker, by level
	FreeCPUs float64   // not used by attempts that were sent to the worker; so FreeGPUs and FreeGB
	FreeGPUs float64
	FreeGB   float64
	Uses     []LevelUse // resources of its running and queued attempts that are not being killed, by level
	Ending   LevelUse   // estimate of the resources that ending tasks free each second
	Heard    bool       // all attempts on it are known; otherwise there may be more
	Held     int        // number of attempts, running or queued
	Queued   int        // the part of Held that was never sent to the worker
	Closed   bool       // no more attempts may be placed on it
	Suspect  bool       // quarantined
	Draining bool       // no more attempts are started on it, at the request of an owner or the autoscaler
	Noticed  bool       // the cloud is about to reclaim it
	Silence  Silence    // how long its worker has sent no heartbeat
	IdleS    float64    // how many seconds it had been without attempts when this was sent
	Images   []string   // images fetched lately, the latest last
	// Runs lists the attempts that were sent to its worker, while the reservation calendar
	// has entries.
	Runs []reservation.Run
}

// Silence classifies how long a worker has sent no heartbeat, relative to the longest time
// between two heartbeats of a healthy worker. Its numbers are sent to peers.
type Silence uint8

// The degrees of silence.
const (
	SilenceNone Silence = iota // as long as a healthy worker may be silent
	SilenceSome                // longer than a healthy worker may be silent
	SilenceLong                // more than twice as long: nothing is placed on its machine
)

// WaitChange is an addition to a machine's expected wait.
type WaitChange struct {
	Machine protocol.MachineID
	Add     float64    // processor seconds to add to the wait
	Taken   []LevelUse // resources of the placements that add the wait
}

// WaitsAdded notifies all peers of the waits that placements have added to machines.
type WaitsAdded struct {
	Term protocol.Term
	// Numbers holds, by dispatcher, the number of the Place message with these placements.
	// A table whose state from the dispatcher already includes that message does not count
	// the placements again.
	Numbers map[protocol.NodeName]uint64
	Waits   []WaitChange
}

// LevelUse is the resources of a machine that attempts of one level use.
type LevelUse struct {
	Level          int // a resource.Level
	CPUs, GPUs, GB float64
}

// LevelUses converts uses to the form in which they are sent: one element for each level
// whose use is not zero.
func LevelUses(uses *resource.Uses) []LevelUse {
	var list []LevelUse
	for level, used := range uses {
		if used != (resource.Amount{}) {
			list = append(list, LevelUse{Level: level, CPUs: used.CPUs, GPUs: used.GPUs, GB: used.GB})
		}
	}
	return list
}

// AddLevelUses adds the uses in list, which were received in the form of LevelUses, to
// uses.
func AddLevelUses(uses *resource.Uses, list []LevelUse) {
	for _, use := range list {
		uses.Add(resource.Level(use.Level), resource.Amount{CPUs: use.CPUs, GPUs: use.GPUs, GB: use.GB})
	}
}
