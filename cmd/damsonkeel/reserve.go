package main

import (
	"fmt"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/jedib0t/go-pretty/v6/table"
)

type reserveCommand struct {
	Add    reserveAdd    `cmd:"" help:"Reserve room for a job, or for a class of jobs, at a time."`
	List   reserveList   `cmd:"" help:"List reservations."`
	Show   reserveShow   `cmd:"" help:"Show one."`
	Cancel reserveCancel `cmd:"" help:"Cancel one."`
}

type reserveAdd struct {
	clientFlags `embed:""`
	changeFlags `embed:""`

	Name     string        `arg:"" help:"Its name: lower-case letters, digits, dots and dashes."`
	When     string        `help:"${when}" required:""`
	Job      string        `help:"Id of the job it is for."`
	Class    string        `help:"Class of the jobs it is for, instead of one job."`
	Team     string        `help:"Team whose limit it counts against, and whose jobs alone it is for."`
	Hold     time.Duration `help:"How long it is held if its job does not come." default:"15m"`
	Length   time.Duration `help:"How long the job is expected to run." default:"1h"`
	Tasks    int           `help:"Number of tasks." required:""`
	CPUs     float64       `help:"Processors of a task." name:"cpus"`
	GPUs     float64       `help:"GPUs of a task." name:"gpus"`
	Memory   float64       `help:"Memory of a task, in GB."`
	Types    []string      `help:"Allowed machine types; any if none is named."`
	Zone     string        `help:"The only allowed zone."`
	OneZone  bool          `help:"All of it in one zone, whichever."`
	Spot     bool          `help:"Spot machines may be held."`
	Priority string        `help:"Priority of the job: ${enum}." enum:"production,high,standard,best_effort" default:"standard"`
}

type (
	reserveList   struct{ clientFlags }
	reserveShow   struct{ entryCommand }
	reserveCancel struct{ entryCommand }
)

// Run requests a reservation as the flags specify it, and prints the reply.
func (a *reserveAdd) Run() error {
	spec := &record.ReservationSpec{
		Name:     record.EntryName(a.Name),
		Job:      protocol.JobID(a.Job),
		Class:    a.Class,
		Team:     protocol.Team(a.Team),
		When:     a.When,
		HoldS:    a.Hold.Seconds(),
		LengthS:  a.Length.Seconds(),
		Tasks:    a.Tasks,
		CPUs:     a.CPUs,
		GPUs:     a.GPUs,
		MemoryGB: a.Memory,
		Zone:     protocol.Zone(a.Zone),
		OneZone:  a.OneZone,
		Spot:     a.Spot,
		Priority: protocol.Priority(a.Priority),
	}
	for _, name := range a.Types {
		spec.Types = append(spec.Types, protocol.MachineType(name))
	}
	return a.sendAndPrint(operatorapi.Request{
		Op: operatorapi.OpAdd, ID: requestID(a.ID), DryRun: a.DryRun, Replace: a.Replace, Reservation: spec,
	})
}

// Run prints a table of all reservations.
func (l *reserveList) Run() error { return l.listEntries(false) }

// Run prints one reservation with its past occurrences.
func (s *reserveShow) Run() error { return s.show(false) }

// Run cancels the reservation of the given name.
func (c *reserveCancel) Run() error { return c.cancel(false) }

// printReservations prints a table of reservations. For a single one it also prints
// when it takes place and its past occurrences.
func printReservations(reservations []operatorapi.Reservation) {
	t := newTable("name", "for", "state", "time", "tasks", "held", "started", "at risk", "since")
	for _, r := range reservations {
		user := "class " + r.Spec.Class
		if r.Spec.Job != "" {
			user = string(r.Spec.Job)
		}
		t.AppendRow(table.Row{r.Spec.Name, user, r.State, formatTime(r.StartMS), r.Spec.Tasks, r.Held, r.Started, r.Risk, formatTime(r.RiskMS)})
	}
	t.Render()
	if len(reservations) != 1 {
		return
	}
	fmt.Println("when:", reservations[0].Spec.When)
	for _, past := range reservations[0].Past {
		fmt.Println("before:", formatTime(past.StartMS), past.State, past.Risk)
	}
}
