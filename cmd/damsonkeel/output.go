package main

import (
	"os"
	"strings"
	"time"

	"damsonkeel/internal/record"

	"github.com/jedib0t/go-pretty/v6/table"
)

// outputJSON is the value of --output that selects JSON instead of tables.
const outputJSON = "json"

// newTable returns a table with the given column headers that its Render prints to the standard
// output.
func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row(header))
	return t
}

// joinNames formats a list of names, separated by commas.
func joinNames(entries []record.EntryName) string {
	var names []string
	for _, name := range entries {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}

// formatTime formats a time in the local time zone. For 0, which means no time, it returns
// an empty text.
func formatTime(m record.Moment) string {
	if m == 0 {
		return ""
	}
	return time.UnixMilli(int64(m)).Format("2006-01-02 15:04:05 MST")
}
