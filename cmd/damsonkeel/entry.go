package main

import (
	"crypto/rand"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

// changeFlags has the flags of commands that add an entry.
type changeFlags struct {
	DryRun  bool   `help:"Tell what would be answered, and change nothing."`
	Replace bool   `help:"Take the place of what has the name."`
	ID      string `help:"Id of the request: repeated with it, it changes nothing more. Made up if not given."`
}

// whenHelp is the help text for the times of reservations and windows.
const whenHelp = `"2026-12-24 at 04:00 in Europe/Berlin", "daily at 04:00 in Europe/Berlin" or "weekly on mon, thu at 23:30", with "from DATE" and "until DATE" if it recurs; UTC if no zone is named.`

// requestID returns the idempotency key of a request: id, or a random one if id is empty.
func requestID(id string) string {
	if id == "" {
		return rand.Text()
	}
	return id
}

// entryCommand has the flags of a command about one reservation or window.
type entryCommand struct {
	clientFlags `embed:""`
	Name        string `arg:"" help:"Its name."`
}

// request returns a request with the operation for the window, or otherwise the reservation, of
// the command's name.
func (c *entryCommand) request(op operatorapi.Op, window bool) operatorapi.Request {
	return operatorapi.Request{Op: op, Window: window, Name: record.EntryName(c.Name)}
}

// show prints the window, or otherwise the reservation, of the command's name.
func (c *entryCommand) show(window bool) error {
	return c.sendAndPrint(c.request(operatorapi.OpShow, window))
}

// cancel reads the window, or otherwise the reservation, of the command's name and cancels it. An
// entry of the same name that is created after that read is not cancelled.
func (c *entryCommand) cancel(window bool) error {
	current, err := c.send(c.request(operatorapi.OpShow, window))
	if err != nil {
		return err
	}
	r := c.request(operatorapi.OpCancel, window)
	for _, reservation := range current.Reservations {
		r.CreatedAt = reservation.MadeMS
	}
	for _, window := range current.Windows {
		r.CreatedAt = window.MadeMS
	}
	return c.sendAndPrint(r)
}

// listEntries reads all reservations or all windows page by page and prints them.
func (f *clientFlags) listEntries(window bool) error {
	var all operatorapi.Reply
	r := operatorapi.Request{Op: operatorapi.OpList, Window: window}
	for {
		page, err := f.send(r)
		if err != nil {
			return err
		}
		all.Code = page.Code
		all.Reservations = append(all.Reservations, page.Reservations...)
		all.Windows = append(all.Windows, page.Windows...)
		if !page.More {
			return f.print(all)
		}
		if window {
			r.Name = page.Windows[len(page.Windows)-1].Spec.Name
		} else {
			r.Name = page.Reservations[len(page.Reservations)-1].Spec.Name
		}
	}
}
