package record

import "damsonkeel/internal/protocol"

// Block is a record of several machines.
type Block struct {
	Machines []BlockEntry `cbor:"machines"`
}

// BlockEntry is one machine's record in a block. Epoch has the part of the version that
// a record of its own would have: another epoch means that all tasks of the previous
// one are lost.
type BlockEntry struct {
	ID    protocol.MachineID `cbor:"id"`
	Epoch protocol.Version   `cbor:"epoch"`
	Machine
}

// Machine is a machine's record. Its tasks belong to this agent epoch and are lost when
// the record is replaced or deleted.
type Machine struct {
	Session protocol.AgentEpoch  `cbor:"session"`
	Address string               `cbor:"address"`
	Type    protocol.MachineType `cbor:"type"`
	Zone    protocol.Zone        `cbor:"zone"`
	Spot    bool                 `cbor:"spot"`
}
