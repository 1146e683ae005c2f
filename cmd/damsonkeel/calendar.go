package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/jedib0t/go-pretty/v6/table"
)

// askFlags are how controllers are asked.
type askFlags struct {
	Controller []string      `help:"Addresses of controllers, one or more." env:"DAMSONKEEL_CONTROLLERS" required:"" placeholder:"HOST:PORT"`
	Key        string        `help:"File with an operator's key; the first in it is used." env:"DAMSONKEEL_KEY" required:"" type:"path" placeholder:"FILE"`
	Output     string        `help:"Form of the answer: ${enum}." enum:"table,json" default:"table"`
	Timeout    time.Duration `help:"How long to try." default:"30s"`
}

type reserveCommand struct {
	Add    reserveAdd    `cmd:"" help:"Reserve room for a job, or for a class of jobs, at a time."`
	List   reserveList   `cmd:"" help:"List reservations."`
	Show   reserveShow   `cmd:"" help:"Show one."`
	Cancel reserveCancel `cmd:"" help:"Cancel one."`
}

type windowCommand struct {
	Add    windowAdd    `cmd:"" help:"Declare a maintenance window."`
	List   windowList   `cmd:"" help:"List windows."`
	Show   windowShow   `cmd:"" help:"Show one, and what will overrun it."`
	Cancel windowCancel `cmd:"" help:"Cancel one."`
}

// changeFlags are those of what changes something.
type changeFlags struct {
	DryRun  bool   `help:"Tell what would be answered, and change nothing."`
	Replace bool   `help:"Take the place of what has the name."`
	ID      string `help:"Id of the request: repeated with it, it changes nothing more. Made up if not given."`
}

const whenHelp = `"2026-12-24 at 04:00 in Europe/Berlin", "daily at 04:00 in Europe/Berlin" or "weekly on mon, thu at 23:30", with "from DATE" and "until DATE" if it recurs; UTC if no zone is named.`

type reserveAdd struct {
	askFlags    `embed:""`
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

type windowAdd struct {
	askFlags    `embed:""`
	changeFlags `embed:""`

	Name     string        `arg:"" help:"Its name."`
	When     string        `help:"${when}" required:""`
	Length   time.Duration `help:"How long it lasts." required:""`
	Machines []string      `help:"Machines that it covers."`
	Type     string        `help:"Machine type that it covers."`
	Zone     string        `help:"Zone that it covers; with no machines, type or zone, the whole site."`
}

// named is a command about one entry.
type named struct {
	askFlags `embed:""`
	Name     string `arg:"" help:"Its name."`
}

type (
	reserveList   struct{ askFlags }
	reserveShow   struct{ named }
	reserveCancel struct{ named }
	windowList    struct{ askFlags }
	windowShow    struct{ named }
	windowCancel  struct{ named }
)

// Run reserves.
func (a *reserveAdd) Run() error {
	spec := &record.ReservationSpec{
		Name: record.EntryName(a.Name), Job: protocol.JobID(a.Job), Class: a.Class, Team: protocol.Team(a.Team), When: a.When,
		HoldS: a.Hold.Seconds(), LengthS: a.Length.Seconds(), Tasks: a.Tasks, CPUs: a.CPUs, GPUs: a.GPUs, MemoryGB: a.Memory,
		Zone: protocol.Zone(a.Zone), OneZone: a.OneZone, Spot: a.Spot, Priority: protocol.Priority(a.Priority),
	}
	for _, t := range a.Types {
		spec.Types = append(spec.Types, protocol.MachineType(t))
	}
	return a.ask(operatorapi.Request{Op: operatorapi.OpAdd, ID: a.id(), DryRun: a.DryRun, Replace: a.Replace, Reservation: spec})
}

// Run declares a window.
func (a *windowAdd) Run() error {
	spec := &record.WindowSpec{
		Name: record.EntryName(a.Name), When: a.When, LengthS: a.Length.Seconds(), Type: protocol.MachineType(a.Type), Zone: protocol.Zone(a.Zone),
	}
	for _, m := range a.Machines {
		spec.Machines = append(spec.Machines, protocol.MachineID(m))
	}
	return a.ask(operatorapi.Request{Op: operatorapi.OpAdd, Window: true, ID: a.id(), DryRun: a.DryRun, Replace: a.Replace, Spec: spec})
}

func (c *changeFlags) id() string { return requestID(c.ID) }

// requestID is the id of a request: as it was given, or made up.
func requestID(given string) string {
	if given == "" {
		return rand.Text()
	}
	return given
}

// Run lists reservations.
func (l *reserveList) Run() error { return l.list(false) }

// Run lists windows.
func (l *windowList) Run() error { return l.list(true) }

// Run shows a reservation.
func (s *reserveShow) Run() error { return s.ask(s.request(operatorapi.OpShow, false)) }

// Run shows a window.
func (s *windowShow) Run() error { return s.ask(s.request(operatorapi.OpShow, true)) }

// Run cancels a reservation.
func (s *reserveCancel) Run() error { return s.cancel(false) }

// Run cancels a window.
func (s *windowCancel) Run() error { return s.cancel(true) }

func (n *named) request(op operatorapi.Op, window bool) operatorapi.Request {
	return operatorapi.Request{Op: op, Window: window, Name: record.EntryName(n.Name)}
}

// cancel looks what there is first, so that another one made of that name
// meanwhile stays.
func (n *named) cancel(window bool) error {
	now, err := n.settle(n.request(operatorapi.OpShow, window))
	if err != nil {
		return err
	}
	r := n.request(operatorapi.OpCancel, window)
	for _, have := range now.Reservations {
		r.Made = have.MadeMS
	}
	for _, have := range now.Windows {
		r.Made = have.MadeMS
	}
	return n.ask(r)
}

// list asks until all is listed.
func (f *askFlags) list(window bool) error {
	var all operatorapi.Reply
	for r := (operatorapi.Request{Op: operatorapi.OpList, Window: window}); ; {
		reply, err := f.settle(r)
		if err != nil {
			return err
		}
		all.Code = reply.Code
		all.Reservations, all.Windows = append(all.Reservations, reply.Reservations...), append(all.Windows, reply.Windows...)
		switch {
		case !reply.More:
			return f.print(all)
		case window:
			r.Name = reply.Windows[len(reply.Windows)-1].Spec.Name
		default:
			r.Name = reply.Reservations[len(reply.Reservations)-1].Spec.Name
		}
	}
}

// ask puts a request and prints the answer.
func (f *askFlags) ask(r operatorapi.Request) error {
	reply, err := f.settle(r)
	if reply.Code == "" {
		return err
	}
	return errors.Join(f.print(reply), err)
}

// settle puts a request; what is not done is an error with its exit code.
func (f *askFlags) settle(r operatorapi.Request) (operatorapi.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	reply, err := f.put(ctx, r)
	if err != nil {
		return operatorapi.Reply{}, err
	}
	code := map[operatorapi.Code]int{operatorapi.Refused: exitRefused, operatorapi.NotFound: exitNotFound, operatorapi.Denied: exitDenied}[reply.Code]
	if code == 0 {
		return reply, nil
	}
	return reply, &exitError{code, errors.New(reply.Reason)}
}

// put puts a request until the context ends.
func (f *askFlags) put(ctx context.Context, r operatorapi.Request) (operatorapi.Reply, error) {
	keys, err := operatorapi.ReadKeys(f.Key)
	if err != nil {
		return operatorapi.Reply{}, err
	}
	return operatorapi.NewClient(keys[0], f.Controller).Do(ctx, r)
}

func (f *askFlags) print(reply operatorapi.Reply) error {
	if f.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(reply)
	}
	if reply.Code != operatorapi.Done {
		if len(reply.InTheWay) > 0 {
			fmt.Fprintln(os.Stderr, "in the way:", names(reply.InTheWay))
		}
		return nil
	}
	if reply.Reason != "" {
		fmt.Println(reply.Reason)
	}
	if len(reply.Beside) > 0 {
		fmt.Println("overlaps, and fits beside:", names(reply.Beside))
	}
	if len(reply.Controllers) > 0 {
		printShares(reply)
	}
	if reply.Config != nil {
		printConfig(reply.Config)
	}
	if len(reply.Reservations) > 0 {
		printReservations(reply.Reservations)
	}
	if len(reply.Windows) > 0 {
		printWindows(reply.Windows)
	}
	return nil
}

func names(ns []record.EntryName) string {
	var out []string
	for _, n := range ns {
		out = append(out, string(n))
	}
	return strings.Join(out, ", ")
}

func timeOf(m record.Moment) string {
	if m == 0 {
		return ""
	}
	return time.UnixMilli(int64(m)).Format("2006-01-02 15:04:05 MST")
}

func newTable() table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	return t
}

func printReservations(rs []operatorapi.Reservation) {
	t := newTable()
	t.AppendHeader(table.Row{"name", "for", "state", "time", "tasks", "held", "started", "at risk", "since"})
	for _, r := range rs {
		what := "class " + r.Spec.Class
		if r.Spec.Job != "" {
			what = string(r.Spec.Job)
		}
		t.AppendRow(table.Row{r.Spec.Name, what, r.State, timeOf(r.StartMS), r.Spec.Tasks, r.Held, r.Started, r.Risk, timeOf(r.RiskMS)})
	}
	t.Render()
	if len(rs) != 1 {
		return
	}
	fmt.Println("when:", rs[0].Spec.When)
	for _, o := range rs[0].Past {
		fmt.Println("before:", timeOf(o.StartMS), o.State, o.Risk)
	}
}

func printWindows(ws []operatorapi.Window) {
	t := newTable()
	t.AppendHeader(table.Row{"name", "covers", "next", "lasts", "state"})
	for _, w := range ws {
		state := "waiting"
		switch {
		case w.Cancelled:
			state = "cancelled"
		case w.Open:
			state = "open"
		case w.NextMS == 0:
			state = "over"
		}
		t.AppendRow(table.Row{w.Spec.Name, covers(&w.Spec), timeOf(w.NextMS), config.Seconds(w.Spec.LengthS), state})
	}
	t.Render()
	if len(ws) != 1 || len(ws[0].Overruns) == 0 {
		return
	}
	t = newTable()
	t.AppendHeader(table.Row{"machine", "overruns by"})
	for _, o := range ws[0].Overruns {
		t.AppendRow(table.Row{o.Machine, config.Seconds(o.ByS).Round(time.Second)})
	}
	t.Render()
}

func covers(s *record.WindowSpec) string {
	switch {
	case len(s.Machines) > 0:
		return fmt.Sprintf("%d machines", len(s.Machines))
	case s.Type == "" && s.Zone == "":
		return "the site"
	}
	return strings.TrimSpace(string(s.Type) + " " + string(s.Zone))
}

type keyCommand struct {
	Name string `arg:"" help:"Whose key it is."`
}

// Run prints a new key, in the form in which files of keys have it.
func (k *keyCommand) Run() error {
	key, err := operatorapi.NewKey(k.Name)
	if err != nil {
		return err
	}
	fmt.Println(key)
	return nil
}
