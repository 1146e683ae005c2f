package reservation

import (
	"math"
	"strings"
	"testing"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestReservationErrorNamesField checks the error texts of reservations, which operators
// receive unchanged.
func TestReservationErrorNamesField(t *testing.T) {
	for _, tc := range []struct {
		change func(*record.ReservationSpec)
		want   string
	}{
		{func(*record.ReservationSpec) {}, ""},
		{func(s *record.ReservationSpec) { s.Name, s.When = "A", "" }, `name: "A" is not of 1 to 60 lower-case letters, digits, dots and dashes`},
		{func(s *record.ReservationSpec) { s.When = strings.Repeat("x", 201) }, "time: longer than 200 characters"},
		{func(s *record.ReservationSpec) { s.When = "weekly on foo at 01:00" }, `time "weekly on foo at 01:00": "foo" is no day of the week`},
		{func(s *record.ReservationSpec) { s.When = "daily at 04:00 in Local" }, `time "daily at 04:00 in Local": "Local" is no time zone`},
		{func(s *record.ReservationSpec) { s.When = "daily at 25:00" }, `time "daily at 25:00": "25:00" is no time of day`},
		{func(s *record.ReservationSpec) { s.When = "2026-02-30 at 04:00" }, `time "2026-02-30 at 04:00": "2026-02-30" is no date`},
		{func(s *record.ReservationSpec) { s.When = "2026-12-24 at 04:00 until 2027-01-01" }, `time "2026-12-24 at 04:00 until 2027-01-01": a date has no "from" and "until"`},
		{func(s *record.ReservationSpec) { s.Class = "" }, "job, class: one of the two is needed"},
		{func(s *record.ReservationSpec) { s.Class, s.Job = "", "job-1" }, "job: a job runs once, so a recurring time needs a class"},
		{func(s *record.ReservationSpec) { s.Tasks = 0 }, "tasks: 0 is not from 1 to 10000"},
		{func(s *record.ReservationSpec) { s.CPUs, s.MemoryGB = 0, 0 }, "cpus, gpus, memory_gb: no task takes nothing or less"},
		{func(s *record.ReservationSpec) { s.CPUs = math.NaN() }, "cpus, gpus, memory_gb: no task takes nothing or less"},
		{func(s *record.ReservationSpec) { s.Types = append(s.Types, make([]protocol.MachineType, 201)...) }, "types: more than 200"},
		{func(s *record.ReservationSpec) { s.Priority = "x" }, `priority: "x" is none`},
		{func(s *record.ReservationSpec) { s.HoldS = 59 }, "hold: 59 is not from 1m0s to 168h0m0s"},
		{func(s *record.ReservationSpec) { s.LengthS = math.NaN() }, "length: NaN is not from 1s to 168h0m0s"},
	} {
		s := spec("one", "daily at 04:00", 1)
		tc.change(s)
		if got := errorText(CheckReservation(s)); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
}

// TestWindowErrorNamesField checks the error texts of windows, which operators receive
// unchanged.
func TestWindowErrorNamesField(t *testing.T) {
	for _, tc := range []struct {
		change func(*record.WindowSpec)
		want   string
	}{
		{func(*record.WindowSpec) {}, ""},
		{func(s *record.WindowSpec) { s.Name = "" }, `name: "" is not of 1 to 60 lower-case letters, digits, dots and dashes`},
		{func(s *record.WindowSpec) { s.When = "daily at 4:61" }, `time "daily at 4:61": "4:61" is no time of day`},
		{func(s *record.WindowSpec) { s.Machines = append(s.Machines, make([]protocol.MachineID, 201)...) }, "machines: more than 200"},
		{func(s *record.WindowSpec) { s.Machines, s.Zone = append(s.Machines, "vm-1"), "a" }, "machines: named beside a type or a zone"},
		{func(s *record.WindowSpec) { s.LengthS = 0.5 }, "length: 0.5 is not from 1s to 168h0m0s"},
	} {
		s := &record.WindowSpec{Name: "one", When: "daily at 04:00", LengthS: 60}
		tc.change(s)
		if got := errorText(CheckWindow(s)); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
