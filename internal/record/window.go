package record

import "damsonkeel/internal/protocol"

// WindowSpec is a maintenance window as an operator requests it. It covers Machines, or
// those of Type, of Zone or of both; without any of these, the whole site.
type WindowSpec struct {
	Name     EntryName            `json:"name"`
	When     string               `json:"when"`
	LengthS  float64              `json:"length_s"`
	Machines []protocol.MachineID `json:"machines,omitempty"`
	Type     protocol.MachineType `json:"type,omitempty"`
	Zone     protocol.Zone        `json:"zone,omitempty"`
}

// Window is the record of a maintenance window.
type Window struct {
	Spec      WindowSpec `json:"spec"`
	Request   string     `json:"request"`
	By        string     `json:"by"`
	MadeMS    Moment     `json:"made_ms"`
	Cancelled bool       `json:"cancelled,omitempty"`
}
