package record

import (
	"fmt"

	"damsonkeel/internal/protocol"
)

// Layout is the version of the form in which agent epochs and the assignment of machines
// to controllers are stored. Higher layouts include the lower ones.
type Layout int

// The layouts. A View or Node without a layout was written by a version that supports only
// LayoutSingle.
const (
	// LayoutSingle has a single record for each machine.
	LayoutSingle Layout = 1
	// LayoutBlocks adds blocks, which hold the records of several machines.
	LayoutBlocks Layout = 2
	// LayoutShards adds the shard table.
	LayoutShards Layout = 3
	// LayoutConfiguration requires that all members follow the records of the dynamic
	// configuration.
	LayoutConfiguration Layout = 4
	// LatestLayout is the highest layout that this version supports.
	LatestLayout = LayoutConfiguration
)

// View is the record of the membership of a term: the controllers that may hold shards and own
// jobs, each with its lease.
type View struct {
	Term    protocol.Term
	Members map[protocol.NodeName]protocol.LeaseID
	// Deaf are the members that workers can't reach. They hold no shards.
	Deaf []protocol.NodeName
	// Layout is the layout of the records in this term.
	Layout Layout
}

// viewRecord is the stored form of View. From LayoutBlocks on, Who holds the members and
// Members holds membersPlaceholder.
type viewRecord struct {
	Term    protocol.Term       `cbor:"term"`
	Members any                 `cbor:"members"`
	Who     members             `cbor:"who,omitempty"`
	Deaf    []protocol.NodeName `cbor:"deaf,omitempty"`
	Layout  Layout              `cbor:"layout,omitempty"`
}

// members is the type of View.Members.
type members = map[protocol.NodeName]protocol.LeaseID

// membersPlaceholder replaces the map of members for versions that support only
// LayoutSingle. Those versions fail to decode such a view and never act on it. Otherwise
// they would treat a machine whose record is in a block as never registered.
const membersPlaceholder = "who"

// MarshalCBOR encodes the view in the form of its layout: see viewRecord.
func (v View) MarshalCBOR() ([]byte, error) {
	r := viewRecord{Term: v.Term, Members: v.Members, Deaf: v.Deaf}
	if v.Layout >= LayoutBlocks {
		r.Members, r.Who, r.Layout = membersPlaceholder, v.Members, v.Layout
	}
	b, err := protocol.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("view record: %w", err)
	}
	return b, nil
}

// UnmarshalCBOR decodes a view of any layout. A view without a layout has LayoutSingle.
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

// Node is the record of a running controller. It is attached to the controller's lease, so that
// it is deleted when the lease ends.
type Node struct {
	Session protocol.LeaseID `cbor:"session"`          // the controller's lease
	Layout  Layout           `cbor:"layout,omitempty"` // highest layout that the controller supports
}
