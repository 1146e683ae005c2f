package message

import (
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// MachineState is what a machine's dispatcher sends all peers of it, when it changes.
type MachineState struct {
	Machine  protocol.MachineID
	Epoch    protocol.Version // 0: its present agent epoch is not registered yet, and nothing is known
	Wait     float64          // processor seconds
	Queue    []float64        // the part of these that was never sent to the worker, by level
	FreeCPUs float64
	FreeGPUs float64
	FreeGB   float64
	Uses     []LevelUse // what its attempts, running or queued, use by level
	Ending   LevelUse   // what becomes free each second, by estimate, as its tasks end
	Heard    bool       // all attempts on it are known; otherwise there may be more
	Held     int        // attempts, running or queued
	Queued   int        // the part of these that was never sent to the worker
	Closed   bool
	Suspect  bool
	Draining bool
	Noticed  bool // the cloud is about to reclaim it
	Silence  Silence
	IdleS    float64  // how long it has had no attempt, when this was sent
	Images   []string // fetched lately
	// Runs is what it runs, while there are reservations.
	Runs []reservation.Run
}

// Silence is how long a worker has sent no heartbeat. Its numbers are sent to peers.
type Silence uint8

// The degrees of silence.
const (
	SilenceNone Silence = iota // no longer than a healthy worker's
	SilenceSome                // longer
	SilenceLong                // at least twice as long: nothing is placed on its machine
)

// WaitChange is a change of a machine's expected wait, in processor seconds.
type WaitChange struct {
	Machine protocol.MachineID
	Add     float64
	Taken   []LevelUse
}

// WaitsAdded notifies all peers of what placements have added to the waits of machines.
// Numbers are, by dispatcher, those of the Place messages with these placements: a table
// that already includes the dispatcher's state with them does not count them again.
type WaitsAdded struct {
	Term    protocol.Term
	Numbers map[protocol.NodeName]uint64
	Waits   []WaitChange
}

// LevelUse is what attempts of one level use of a machine.
type LevelUse struct {
	Level          int
	CPUs, GPUs, GB float64
}

// LevelUses returns uses in the form in which they are sent.
func LevelUses(uses *resource.Uses) []LevelUse {
	var list []LevelUse
	for level, used := range uses {
		if used != (resource.Amount{}) {
			list = append(list, LevelUse{Level: level, CPUs: used.CPUs, GPUs: used.GPUs, GB: used.GB})
		}
	}
	return list
}

// AddLevelUses adds uses in the form in which they are sent.
func AddLevelUses(uses *resource.Uses, list []LevelUse) {
	for _, use := range list {
		uses.Add(resource.Level(use.Level), resource.Amount{CPUs: use.CPUs, GPUs: use.GPUs, GB: use.GB})
	}
}
