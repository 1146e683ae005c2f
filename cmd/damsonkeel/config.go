package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

type configCommand struct {
	Get     configGet     `cmd:"" help:"Tell what is in force."`
	Set     configSet     `cmd:"" help:"Change one entry."`
	Apply   configApply   `cmd:"" help:"Change several entries in one step, from a file."`
	History configHistory `cmd:"" help:"List the latest changes."`
	Status  configStatus  `cmd:"" help:"Tell which controller acts by which revision."`
}

type configGet struct {
	clientFlags
	Entry string `arg:"" optional:"" help:"Entry, as team/NAME, class/NAME, zone/NAME, type/NAME or setting/NAME; or the kind alone. All if none is named."`
}

// configChangeFlags has the flags of commands that change the configuration.
type configChangeFlags struct {
	DryRun   bool    `help:"Tell what would change, and change nothing."`
	Revision *uint64 `help:"Change only if this revision is in force."`
	Wait     bool    `help:"Return once no controller acts by an earlier revision any more, and say why."`
	ID       string  `help:"Id of the request: repeated with it, it changes nothing more. Made up if not given."`
}

type configSet struct {
	clientFlags       `embed:""`
	configChangeFlags `embed:""`

	Entry  string   `arg:"" help:"Entry, as team/NAME, class/NAME, zone/NAME, type/NAME or setting/NAME."`
	Values []string `arg:"" optional:"" help:"FIELD=VALUE: cpus, cpus_max, gpus, gpus_max and closed of a team; closed of a zone or type; value of a setting; wait, finished and guarantee (WITHIN_S:SHARE) or deadline (TIMES:SHARE) of a class."`
	Reset  bool     `help:"Have it as the platform's file has it."`
	Remove bool     `help:"Remove a team that is closed and has no jobs."`
}

type configApply struct {
	clientFlags       `embed:""`
	configChangeFlags `embed:""`

	File string `arg:"" help:"File of changes (TOML, see docs/operations.md)." type:"path"`
}

type (
	configHistory struct{ clientFlags }
	configStatus  struct{ clientFlags }
)

// Run reads the entries that the command selects, as they are in force, page by page and
// prints them in one table.
func (g *configGet) Run() error {
	var entries []operatorapi.ConfigEntry
	request := &operatorapi.ConfigRequest{Entry: record.EntryID(g.Entry)}
	for {
		reply, err := g.send(operatorapi.Request{Op: operatorapi.OpConfig, Config: request})
		if err != nil {
			return err
		}
		if reply.Config != nil {
			entries = append(entries, reply.Config.Entries...)
			reply.Config.Entries = entries
		}
		if !reply.More || len(entries) == 0 {
			return g.print(reply)
		}
		request.After = entries[len(entries)-1].Entry
	}
}

// Run changes one entry by the values, or resets or removes it.
func (s *configSet) Run() error {
	change := operatorapi.ConfigChange{Entry: record.EntryID(s.Entry), Reset: s.Reset, Remove: s.Remove}
	for _, value := range s.Values {
		name, text, ok := strings.Cut(value, "=")
		if !ok {
			return fmt.Errorf("%q %w", value, errNoAssignment)
		}
		if err := setField(&change, name, text); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return s.change(&s.clientFlags, []operatorapi.ConfigChange{change})
}

// Run sends all changes of the file in one request, so that either all are made or none. The
// flag Revision takes precedence over the revision in the file.
func (a *configApply) Run() error {
	b, err := os.ReadFile(a.File)
	if err != nil {
		return err //nolint:wrapcheck // the error names the file
	}
	file, err := operatorapi.ParseConfigFile(b)
	if err != nil {
		return fmt.Errorf("%s: %w", a.File, err)
	}
	if a.Revision == nil && file.Revision != nil {
		a.Revision = file.Revision
	}
	return a.change(&a.clientFlags, file.Changes())
}

// Run prints the latest changes of the configuration.
func (h *configHistory) Run() error {
	return h.sendAndPrint(operatorapi.Request{Op: operatorapi.OpConfigHistory})
}

// Run prints which revision each controller has applied.
func (s *configStatus) Run() error {
	return s.sendAndPrint(operatorapi.Request{Op: operatorapi.OpConfigStatus})
}

// change sends changes in one request and prints the reply. With Wait, unless the request is
// refused or a dry run, it waits before printing until no controller acts on an earlier
// revision.
func (f *configChangeFlags) change(client *clientFlags, changes []operatorapi.ConfigChange) error {
	request := &operatorapi.ConfigRequest{Changes: changes}
	if f.Revision != nil {
		revision := record.ConfigurationRevision(*f.Revision)
		request.Revision = &revision
	}
	reply, err := client.send(operatorapi.Request{
		Op: operatorapi.OpConfigure, ID: requestID(f.ID), DryRun: f.DryRun, Config: request,
	})
	if reply.Code == "" {
		return err
	}
	if err == nil && f.Wait && !f.DryRun && reply.Config != nil {
		reply.Reason = awaitInForce(client, reply.Config)
	}
	return errors.Join(client.print(reply), err)
}
