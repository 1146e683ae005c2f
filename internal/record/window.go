package record

import "damsonkeel/internal/protocol"

// WindowSpec is a maintenance window as an operator requests it. It covers the machines in
// Machines, or those of Type, of Zone or of both. Without any of these it covers the whole
// site.
type WindowSpec struct {
	Name     EntryName            `json:"name"`
	When     string               `json:"when"`     // start, once or recurring, as package reservation parses it
	LengthS  float64              `json:"length_s"` // length of each occurrence in seconds
	Machines []protocol.MachineID `json:"machines,omitempty"`
	Type     protocol.MachineType `json:"type,omitempty"`
	Zone     protocol.Zone        `json:"zone,omitempty"`
}

// Window is the record of a maintenance window.
type Window struct {
	Spec      WindowSpec `json:"spec"`
	Request   string     `json:"request"` // idempotency key of the request that created it
	By        string     `json:"by"`      // name of the operator's key
	MadeMS    Moment     `json:"made_ms"` // time of the acceptance
	Cancelled bool       `json:"cancelled,omitempty"`
}
