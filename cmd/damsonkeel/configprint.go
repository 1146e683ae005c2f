package main

import (
	"fmt"
	"strings"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"

	"github.com/jedib0t/go-pretty/v6/table"
)

// printConfig prints the part of a reply about the configuration: the revision, and those of
// entries, changes, past changes and controllers that the reply has.
func printConfig(c *operatorapi.ConfigReply) {
	fmt.Println("revision:", c.Revision)
	if len(c.Entries) > 0 {
		t := newTable("entry", "in force", "changed by revision")
		for _, e := range c.Entries {
			t.AppendRow(table.Row{e.Entry, entryText(&e), revisionText(e.Revision)})
		}
		t.Render()
	}
	printChanges(c.Changes)
	for _, past := range c.History {
		fmt.Printf("revision %d, %s, by %s\n", past.Revision, formatTime(past.AtMS), past.By)
		printChanges(past.Changes)
	}
	if len(c.Controllers) > 0 {
		printAppliedRevisions(c.Controllers)
	}
}

// printAppliedRevisions prints a table of the controllers with the revisions that they act on,
// the seconds since they reported them, and whether they may act.
func printAppliedRevisions(controllers []operatorapi.ConfigController) {
	t := newTable("controller", "acts by revision", "said s ago", "state")
	for _, c := range controllers {
		state := "member"
		switch {
		case c.Older:
			state = "does not follow the configuration: kept from acting"
		case !c.Member:
			state = "may not act"
		}
		t.AppendRow(table.Row{c.Name, c.Revision, fmt.Sprintf("%.1f", c.LastContactS), state})
	}
	t.Render()
}

// revisionText formats the last revision that changed an entry. 0 means that none has, so that
// the platform's file applies.
func revisionText(r record.ConfigurationRevision) string {
	if r == 0 {
		return "platform's file"
	}
	return fmt.Sprint(r)
}

// printChanges prints a table of changes of entries, with the values before and after each. It
// prints nothing if there are none.
func printChanges(changes []record.EntryChange) {
	if len(changes) == 0 {
		return
	}
	t := newTable("entry", "from", "to")
	for _, c := range changes {
		t.AppendRow(table.Row{c.Entry, recordText(&c.From), recordText(&c.To)})
	}
	t.Render()
}

// recordText formats the values in the record of an entry. A record without any, or of a zone or
// machine type that is not closed, means that the platform's file applies.
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

// entryText formats the values of an entry in force, according to its kind.
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

// teamText formats the guarantees, limits and state of a team.
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

// limitText formats a limit; 0 means no limit.
func limitText(v float64) string {
	if v == 0 {
		return "any"
	}
	return fmt.Sprint(v)
}

// objectivesText formats the objectives of a class; "none" if there are none.
func objectivesText(objectives []record.ObjectiveEntry) string {
	var texts []string
	for _, o := range objectives {
		text := fmt.Sprintf("%s %v s", o.Kind, o.WithinS)
		if o.Kind == objectiveDeadline {
			text = fmt.Sprintf("%s times %v", o.Kind, o.Times)
		}
		texts = append(texts, fmt.Sprintf("%s, share %v", text, o.Share))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, "; ")
}
