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

type sharesList struct{ askFlags }

type sharesMove struct {
	askFlags   `embed:""`
	Controller string `arg:"" help:"Controller to move them to."`
	Share      []int  `arg:"" help:"Numbers of the shares, as listed."`
}

type sharesAway struct {
	askFlags   `embed:""`
	Controller string `arg:"" help:"The controller."`
	End        bool   `help:"Shares move to it again."`
}

// Run lists the shares.
func (l *sharesList) Run() error { return l.ask(operatorapi.Request{Op: operatorapi.OpShares}) }

// Run has shares moved.
func (m *sharesMove) Run() error {
	return m.ask(operatorapi.Request{Op: operatorapi.OpMove, Controller: protocol.NodeName(m.Controller), Shares: m.Share})
}

// Run has a controller keep nothing.
func (a *sharesAway) Run() error {
	return a.ask(operatorapi.Request{Op: operatorapi.OpAway, Controller: protocol.NodeName(a.Controller), End: a.End})
}

func printShares(reply operatorapi.Reply) {
	t := newTable()
	t.AppendHeader(table.Row{"controller", "zone", "shares", "machines", "ticks late ms", "state"})
	for _, c := range reply.Controllers {
		state := ""
		switch {
		case c.Leaving:
			state = "ending"
		case c.Away:
			state = "away"
		case c.Deaf:
			state = "deaf"
		}
		t.AppendRow(table.Row{c.Name, c.Zone, c.Shares, c.Machines, fmt.Sprintf("%.0f", c.LateMS), state})
	}
	t.Render()
	t = newTable()
	t.AppendHeader(table.Row{"share", "zone", "machines", "controller", "since", "epoch"})
	for _, s := range reply.Shares {
		t.AppendRow(table.Row{s.Number, s.Zone, s.Machines, s.Holder, s.Since, s.Epoch})
	}
	t.Render()
}
