package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"

	"github.com/jedib0t/go-pretty/v6/table"
)

type configCommand struct {
	Get     configGet     `cmd:"" help:"Tell what is in force."`
	Set     configSet     `cmd:"" help:"Change one entry."`
	Apply   configApply   `cmd:"" help:"Change several entries in one step, from a file."`
	History configHistory `cmd:"" help:"List the latest changes."`
	Status  configStatus  `cmd:"" help:"Tell which controller acts by which revision."`
}

type configGet struct {
	askFlags
	Entry string `arg:"" optional:"" help:"Entry, as team/NAME, class/NAME, zone/NAME, type/NAME or setting/NAME; or the kind alone. All if none is named."`
}

// configChangeFlags are those of what changes the configuration.
type configChangeFlags struct {
	DryRun   bool    `help:"Tell what would change, and change nothing."`
	Revision *uint64 `help:"Change only if this revision is in force."`
	Wait     bool    `help:"Return once no controller acts by an earlier revision any more, and say why."`
	ID       string  `help:"Id of the request: repeated with it, it changes nothing more. Made up if not given."`
}

type configSet struct {
	askFlags          `embed:""`
	configChangeFlags `embed:""`

	Entry  string   `arg:"" help:"Entry, as team/NAME, class/NAME, zone/NAME, type/NAME or setting/NAME."`
	Values []string `arg:"" optional:"" help:"FIELD=VALUE: cpus, cpus_max, gpus, gpus_max and closed of a team; closed of a zone or type; value of a setting; wait, finished and guarantee (WITHIN_S:SHARE) or deadline (TIMES:SHARE) of a class."`
	Reset  bool     `help:"Have it as the platform's file has it."`
	Remove bool     `help:"Remove a team that is closed and has no jobs."`
}

type configApply struct {
	askFlags          `embed:""`
	configChangeFlags `embed:""`

	File string `arg:"" help:"File of changes (TOML, see docs/operations.md)." type:"path"`
}

type (
	configHistory struct{ askFlags }
	configStatus  struct{ askFlags }
)

// Run tells what is in force.
func (g *configGet) Run() error {
	var all operatorapi.Reply
	r := operatorapi.Request{Op: operatorapi.OpConfig, Config: &operatorapi.ConfigRequest{Entry: record.EntryID(g.Entry)}}
	for {
		reply, err := g.settle(r)
		if err != nil {
			return err
		}
		if all.Config != nil {
			reply.Config.Entries = append(all.Config.Entries, reply.Config.Entries...)
		}
		all = reply
		if !reply.More || len(reply.Config.Entries) == 0 {
			return g.print(all)
		}
		r.Config.After = reply.Config.Entries[len(reply.Config.Entries)-1].Entry
	}
}

// Run changes one entry.
func (s *configSet) Run() error {
	change := operatorapi.ConfigChange{Entry: record.EntryID(s.Entry), Reset: s.Reset, Remove: s.Remove}
	for _, value := range s.Values {
		name, text, ok := strings.Cut(value, "=")
		if !ok {
			return fmt.Errorf("%q is no FIELD=VALUE", value)
		}
		if err := setField(&change, name, text); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return s.change(&s.askFlags, []operatorapi.ConfigChange{change})
}

// setField takes a field of a change from its text.
func setField(c *operatorapi.ConfigChange, name, text string) error {
	amounts := map[string]**float64{"cpus": &c.CPUs, "cpus_max": &c.MaxCPUs, "gpus": &c.GPUs, "gpus_max": &c.MaxGPUs}
	switch into := amounts[name]; {
	case into != nil:
		v, err := strconv.ParseFloat(text, 64)
		*into = &v
		return err
	case name == "closed":
		v, err := strconv.ParseBool(text)
		c.Closed = &v
		return err
	case name == "value":
		v := record.SettingText(text)
		c.Value = &v
		return nil
	}
	objective, err := parseObjective(name, text)
	if err != nil {
		return err
	}
	if c.Objectives == nil {
		c.Objectives = &[]record.ObjectiveEntry{}
	}
	*c.Objectives = append(*c.Objectives, objective)
	return nil
}

// errField says that there is no such field.
var errField = errors.New("no such field")

// parseObjective takes an objective from its kind and two numbers.
func parseObjective(kind, text string) (record.ObjectiveEntry, error) {
	o := record.ObjectiveEntry{Kind: kind}
	number := &o.WithinS
	switch kind {
	case "wait", "finished", "guarantee":
	case "deadline":
		number = &o.Times
	default:
		return o, errField
	}
	first, second, ok := strings.Cut(text, ":")
	if !ok {
		return o, fmt.Errorf("%q is no NUMBER:SHARE", text)
	}
	var err error
	if *number, err = strconv.ParseFloat(first, 64); err != nil {
		return o, err
	}
	o.Share, err = strconv.ParseFloat(second, 64)
	return o, err
}

// Run changes several entries in one step.
func (a *configApply) Run() error {
	b, err := os.ReadFile(a.File)
	if err != nil {
		return err
	}
	file, err := operatorapi.ParseConfigFile(b)
	if err != nil {
		return fmt.Errorf("%s: %w", a.File, err)
	}
	if a.Revision == nil && file.Revision != nil {
		a.Revision = file.Revision
	}
	return a.change(&a.askFlags, file.Changes())
}

// Run lists the latest changes.
func (h *configHistory) Run() error {
	return h.ask(operatorapi.Request{Op: operatorapi.OpConfigHistory})
}

// Run tells which controller acts by which revision.
func (s *configStatus) Run() error { return s.ask(operatorapi.Request{Op: operatorapi.OpConfigStatus}) }

// change puts a change, and waits until it is in force if that is asked for.
func (f *configChangeFlags) change(ask *askFlags, changes []operatorapi.ConfigChange) error {
	r := operatorapi.Request{Op: operatorapi.OpConfigure, ID: requestID(f.ID), DryRun: f.DryRun, Config: &operatorapi.ConfigRequest{Changes: changes}}
	if f.Revision != nil {
		revision := record.ConfigurationRevision(*f.Revision)
		r.Config.Revision = &revision
	}
	reply, err := ask.settle(r)
	if reply.Code == "" {
		return err
	}
	if err == nil && f.Wait && !f.DryRun && reply.Config != nil {
		reply.Reason = f.inForce(ask, reply.Config)
	}
	return errors.Join(ask.print(reply), err)
}

// statusEvery is how often it is asked who acts by which revision.
const statusEvery = 300 * time.Millisecond

// inForce waits until no controller acts by a revision before a change, and says why
// that is so.
func (f *configChangeFlags) inForce(ask *askFlags, change *operatorapi.ConfigReply) string {
	answered := time.Now()
	bound := time.Duration(change.WithinS * float64(time.Second))
	for time.Since(answered) < bound {
		ctx, cancel := context.WithTimeout(context.Background(), bound-time.Since(answered))
		reply, err := ask.put(ctx, operatorapi.Request{Op: operatorapi.OpConfigStatus})
		cancel()
		if err == nil && reply.Config != nil && allActBy(reply.Config.Controllers, change.Revision) {
			return fmt.Sprintf("in force: all members act by it after %.1f s", time.Since(answered).Seconds())
		}
		time.Sleep(statusEvery)
	}
	return fmt.Sprintf("in force: after %.1f s no controller can act by an earlier revision any more", bound.Seconds())
}

// allActBy reports whether all members say that they act by a revision or a later one.
func allActBy(controllers []operatorapi.ConfigController, revision record.ConfigurationRevision) bool {
	for _, c := range controllers {
		if c.Member && c.Revision < revision {
			return false
		}
	}
	return len(controllers) > 0
}

func printConfig(c *operatorapi.ConfigReply) {
	fmt.Println("revision:", c.Revision)
	if len(c.Entries) > 0 {
		t := newTable()
		t.AppendHeader(table.Row{"entry", "in force", "changed by revision"})
		for _, e := range c.Entries {
			t.AppendRow(table.Row{e.Entry, entryText(&e), revisionText(e.Revision)})
		}
		t.Render()
	}
	printChanges(c.Changes)
	for _, h := range c.History {
		fmt.Printf("revision %d, %s, by %s\n", h.Revision, timeOf(h.AtMS), h.By)
		printChanges(h.Changes)
	}
	if len(c.Controllers) == 0 {
		return
	}
	t := newTable()
	t.AppendHeader(table.Row{"controller", "acts by revision", "said s ago", "state"})
	for _, n := range c.Controllers {
		state := "member"
		switch {
		case n.Older:
			state = "does not follow the configuration: kept from acting"
		case !n.Member:
			state = "may not act"
		}
		t.AppendRow(table.Row{n.Name, n.Revision, fmt.Sprintf("%.1f", n.HeardS), state})
	}
	t.Render()
}

func revisionText(r record.ConfigurationRevision) string {
	if r == 0 {
		return "platform's file"
	}
	return fmt.Sprint(r)
}

func printChanges(changes []record.EntryChange) {
	if len(changes) == 0 {
		return
	}
	t := newTable()
	t.AppendHeader(table.Row{"entry", "from", "to"})
	for _, c := range changes {
		t.AppendRow(table.Row{c.Entry, recordText(&c.From), recordText(&c.To)})
	}
	t.Render()
}

func recordText(e *record.ConfigurationEntry) string {
	switch {
	case e.Team != nil:
		return teamText(e.Team)
	case e.Class != nil:
		return objectivesText(e.Class.Objectives)
	case e.Place != nil && e.Place.Closed:
		return "closed"
	case e.Value != nil:
		return string(*e.Value)
	}
	return "as in the platform's file"
}

func entryText(e *operatorapi.ConfigEntry) string {
	kind, _ := e.Entry.Split()
	switch {
	case e.Team != nil:
		return teamText(e.Team)
	case kind == record.EntryClass:
		return objectivesText(e.Objectives)
	case kind == record.EntrySetting:
		return string(e.Value)
	case e.Closed:
		return "closed"
	}
	return "open"
}

func teamText(t *record.TeamEntry) string {
	if t.Removed {
		return "removed"
	}
	text := fmt.Sprintf("cpus %v of %v, gpus %v of %v", t.CPUs, limitText(t.MaxCPUs), t.GPUs, limitText(t.MaxGPUs))
	if t.Closed {
		text += ", closed"
	}
	return text
}

func limitText(v float64) string {
	if v == 0 {
		return "any"
	}
	return fmt.Sprint(v)
}

func objectivesText(objectives []record.ObjectiveEntry) string {
	var texts []string
	for _, o := range objectives {
		text := fmt.Sprintf("%s %v s", o.Kind, o.WithinS)
		if o.Kind == "deadline" {
			text = fmt.Sprintf("%s times %v", o.Kind, o.Times)
		}
		texts = append(texts, fmt.Sprintf("%s, share %v", text, o.Share))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, "; ")
}
