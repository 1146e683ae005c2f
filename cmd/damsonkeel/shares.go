package main

import (
	"fmt"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"

	"github.com/jedib0t/go-pretty/v6/table"
)

type sharesCommand struct {
	List sharesList `cmd:"" help:"List who keeps which machines."`
	Move sharesMove `cmd:"" help:"Have shares moved to a controller while jobs run."`
	Away sharesAway `cmd:"" help:"Have a controller keep nothing, until told otherwise."`
}

type sharesList struct{ clientFlags }

type sharesMove struct {
	clientFlags `embed:""`
	Controller  string `arg:"" help:"Controller to move them to."`
	Share       []int  `arg:"" help:"Numbers of the shares, as listed."`
}

type sharesAway struct {
	clientFlags `embed:""`
	Controller  string `arg:"" help:"The controller."`
	End         bool   `help:"Shares move to it again."`
}

// Run prints tables of the controllers and of the shards with their holders.
func (l *sharesList) Run() error {
	return l.sendAndPrint(operatorapi.Request{Op: operatorapi.OpShares})
}

// Run requests the handover of shards to a controller. It does not wait for the handover.
func (m *sharesMove) Run() error {
	return m.sendAndPrint(operatorapi.Request{Op: operatorapi.OpMove, Controller: protocol.NodeName(m.Controller), Shares: m.Share})
}

// Run cordons a controller, so that it holds no shards, or with End ends its cordon.
func (a *sharesAway) Run() error {
	return a.sendAndPrint(operatorapi.Request{Op: operatorapi.OpAway, Controller: protocol.NodeName(a.Controller), End: a.End})
}

// printShards prints a table of the controllers and one of the shards.
func printShards(reply operatorapi.Reply) {
	t := newTable("controller", "zone", "shares", "machines", "ticks late ms", "state")
	for _, c := range reply.Controllers {
		t.AppendRow(table.Row{c.Name, c.Zone, c.Shares, c.Machines, fmt.Sprintf("%.0f", c.LateMS), controllerState(&c)})
	}
	t.Render()
	t = newTable("share", "zone", "machines", "controller", "since", "epoch")
	for _, s := range reply.Shares {
		t.AppendRow(table.Row{s.Number, s.Zone, s.Machines, s.Holder, s.Since, s.Epoch})
	}
	t.Render()
}

// controllerState formats the state of a controller: shutting down, cordoned or unreachable by
// workers, the first that applies. It is empty if none does.
func controllerState(c *operatorapi.Controller) string {
	switch {
	case c.Leaving:
		return "ending"
	case c.Cordoned:
		return "away"
	case c.Unreachable:
		return "deaf"
	}
	return ""
}
