package main

import (
	"fmt"
	"strings"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/jedib0t/go-pretty/v6/table"
)

type windowCommand struct {
	Add    windowAdd    `cmd:"" help:"Declare a maintenance window."`
	List   windowList   `cmd:"" help:"List windows."`
	Show   windowShow   `cmd:"" help:"Show one, and what will overrun it."`
	Cancel windowCancel `cmd:"" help:"Cancel one."`
}

type windowAdd struct {
	clientFlags `embed:""`
	changeFlags `embed:""`

	Name     string        `arg:"" help:"Its name."`
	When     string        `help:"${when}" required:""`
	Length   time.Duration `help:"How long it lasts." required:""`
	Machines []string      `help:"Machines that it covers."`
	Type     string        `help:"Machine type that it covers."`
	Zone     string        `help:"Zone that it covers; with no machines, type or zone, the whole site."`
}

type (
	windowList   struct{ clientFlags }
	windowShow   struct{ entryCommand }
	windowCancel struct{ entryCommand }
)

// Run requests a maintenance window as the flags specify it, and prints the reply.
func (a *windowAdd) Run() error {
	spec := &record.WindowSpec{
		Name:    record.EntryName(a.Name),
		When:    a.When,
		LengthS: a.Length.Seconds(),
		Type:    protocol.MachineType(a.Type),
		Zone:    protocol.Zone(a.Zone),
	}
	for _, id := range a.Machines {
		spec.Machines = append(spec.Machines, protocol.MachineID(id))
	}
	return a.sendAndPrint(operatorapi.Request{
		Op: operatorapi.OpAdd, Window: true, ID: requestID(a.ID), DryRun: a.DryRun, Replace: a.Replace, Spec: spec,
	})
}

// Run prints a table of all windows.
func (l *windowList) Run() error { return l.listEntries(true) }

// Run prints one window and the machines whose tasks are expected to overrun it.
func (s *windowShow) Run() error { return s.show(true) }

// Run cancels the window of the given name.
func (c *windowCancel) Run() error { return c.cancel(true) }

// printWindows prints a table of windows. For a single one it also prints the machines
// whose tasks are expected to end after its start, and by how much.
func printWindows(windows []operatorapi.Window) {
	t := newTable("name", "covers", "next", "lasts", "state")
	for _, w := range windows {
		t.AppendRow(table.Row{w.Spec.Name, coverage(&w.Spec), formatTime(w.NextMS), config.Seconds(w.Spec.LengthS), windowState(&w)})
	}
	t.Render()
	if len(windows) != 1 || len(windows[0].Overruns) == 0 {
		return
	}
	t = newTable("machine", "overruns by")
	for _, overrun := range windows[0].Overruns {
		t.AppendRow(table.Row{overrun.Machine, config.Seconds(overrun.ByS).Round(time.Second)})
	}
	t.Render()
}

// windowState formats the state of a window: cancelled, open now, over if it has no further
// occurrence within the period that controllers plan ahead, or otherwise waiting.
func windowState(w *operatorapi.Window) string {
	switch {
	case w.Cancelled:
		return "cancelled"
	case w.Open:
		return "open"
	case w.NextMS == 0:
		return "over"
	}
	return "waiting"
}

// coverage formats the machines, type or zone that a window covers.
func coverage(s *record.WindowSpec) string {
	switch {
	case len(s.Machines) > 0:
		return fmt.Sprintf("%d machines", len(s.Machines))
	case s.Type == "" && s.Zone == "":
		return "the site"
	}
	return strings.TrimSpace(string(s.Type) + " " + string(s.Zone))
}
