package record

import (
	"fmt"

	"damsonkeel/internal/protocol"
)

// Layout is the form in which agent epochs and the assignment of machines to
// controllers are stored. Higher layouts include the lower ones.
type Layout int

// The layouts. A View or Node without one was written by a version that knows only
// LayoutSingle.
const (
	// LayoutSingle has a record for each machine.
	LayoutSingle Layout = 1
	// LayoutBlocks has records of several machines.
	LayoutBlocks Layout = 2
	// LayoutShards adds the shard table.
	LayoutShards Layout = 3
	// LayoutConfiguration has all members follow the records of the configuration.
	LayoutConfiguration Layout = 4
	// LatestLayout is the highest layout that this version knows.
	LatestLayout = LayoutConfiguration
)

// View is the membership of a term: the controllers that lead shards or own jobs, each
// with its lease.
type View struct {
	Term    protocol.Term
	Members map[protocol.NodeName]protocol.LeaseID
	// Deaf are members that workers can't reach: they lead no shards.
	Deaf []protocol.NodeName
	// Layout is the layout of the records in this term.
	Layout Layout
}

// viewRecord is the stored form of View.
type viewRecord struct {
	Term    protocol.Term       `cbor:"term"`
	Members any                 `cbor:"members"`
	Who     members             `cbor:"who,omitempty"`
	Deaf    []protocol.NodeName `cbor:"deaf,omitempty"`
	Layout  Layout              `cbor:"layout,omitempty"`
}

type members = map[protocol.NodeName]protocol.LeaseID

// membersElsewhere takes the place of the members for versions that know only
// LayoutSingle. They fail to decode such a view and so never act on it: they would take
// a machine recorded in a block for one that was never registered.
const membersElsewhere = "who"

// MarshalCBOR encodes a view in the form of its layout.
func (v View) MarshalCBOR() ([]byte, error) {
	r := viewRecord{Term: v.Term, Members: v.Members, Deaf: v.Deaf}
	if v.Layout >= LayoutBlocks {
		r.Members, r.Who, r.Layout = membersElsewhere, v.Members, v.Layout
	}
	b, err := protocol.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("view record: %w", err)
	}
	return b, nil
}

// UnmarshalCBOR decodes a view of any layout.
func (v *View) UnmarshalCBOR(b []byte) error {
	r := struct {
		viewRecord
		Members protocol.RawValue `cbor:"members"`
	}{}
	if err := protocol.Decode(b, &r); err != nil {
		return fmt.Errorf("view record: %w", err)
	}
	*v = View{Term: r.Term, Members: r.Who, Deaf: r.Deaf, Layout: max(r.Layout, LayoutSingle)}
	if r.Layout >= LayoutBlocks {
		return nil
	}
	if err := protocol.Decode(r.Members, &v.Members); err != nil {
		return fmt.Errorf("members of a view record: %w", err)
	}
	return nil
}

// Node is a controller's record, attached to its lease.
type Node struct {
	Session protocol.LeaseID `cbor:"session"`
	Layout  Layout           `cbor:"layout,omitempty"` // the highest that the controller knows
}
