package record

import "damsonkeel/internal/protocol"

// Block is one value of the store with the records of several machines.
type Block struct {
	Machines []BlockEntry `cbor:"machines"`
}

// BlockEntry is one machine's record in a block.
type BlockEntry struct {
	ID protocol.MachineID `cbor:"id"`
	// Epoch serves as the version of the record, as the store's version does for a single
	// record. A new epoch means that all tasks of the previous one are lost.
	Epoch protocol.Version `cbor:"epoch"`
	Machine
}

// Machine is a machine's record. The machine's tasks belong to the agent epoch in Session
// and are lost when the record is replaced or deleted.
type Machine struct {
	Session protocol.AgentEpoch  `cbor:"session"` // agent epoch
	Address string               `cbor:"address"` // network address of the agent
	Type    protocol.MachineType `cbor:"type"`
	Zone    protocol.Zone        `cbor:"zone"`
	Spot    bool                 `cbor:"spot"`
}
