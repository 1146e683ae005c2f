package siteconfig

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
)

// FieldError says that a field of a site is invalid.
type FieldError struct {
	Field   string // with its path, such as "load[0].tasks"
	Problem string
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// invalid returns the error of an invalid field.
func invalid(name, format string, args ...any) error {
	return &FieldError{Field: name, Problem: fmt.Sprintf(format, args...)}
}

// missing returns the error of a field that is missing or empty.
func missing(name string) error { return invalid(name, "missing") }

// field is a number with its valid range.
type field struct {
	name         string
	value        float64
	lower, upper float64
}

// check returns an error unless the number is in its range.
func (f field) check() error {
	if math.IsNaN(f.value) || f.value < f.lower || f.value > f.upper {
		return invalid(f.name, "%v is not from %v to %v", f.value, f.lower, f.upper)
	}
	return nil
}

// Bounds of several fields.
const (
	maxDurationS = 3600
	maxWorkers   = 20_000
	unbounded    = 1e9
	positive     = 1e-9
)

// checkFields returns the error of the first field that is out of its range.
func checkFields(fields []field) error {
	for _, f := range fields {
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an error that names an invalid field.
func (s *Site) validate() error {
	if s.Name == "" {
		return missing("name")
	}
	fields := []field{
		{"duration_s", s.DurationS, 10, maxDurationS},
		{"controllers", float64(s.Controllers), 1, 50},
		{"regions", float64(s.Regions), 1, 50},
		{"zones", float64(s.Zones), float64(s.Regions), 100},
		{"workers", float64(s.Workers), float64(s.Zones), maxWorkers},
		{"spare_workers", float64(s.SpareWorkers), 0, maxWorkers},
		{"between_regions_ms", s.BetweenRegionsMS, 0, 1000},
		{"to_services_ms", s.ToServicesMS, 0, 1000},
		{"restart_s", s.RestartS, 0, maxDurationS},
		{"idle_return_s", s.IdleReturnS, 0.1, maxDurationS},
		{"timings.report_s", s.Timings.ReportS, 0.5, 60},
		{"timings.lease_s", s.Timings.LeaseS, 1, 600},
		{"timings.gang_wait_s", s.Timings.GangWaitS, 1, 600},
		{"timings.gang_peer_s", s.Timings.GangPeerS, 1, 600},
		{"timings.cancel_s", s.Timings.CancelS, 1, 600},
		{"state.requests_per_s", s.State.RequestsPerS, 1, unbounded},
		{"state.changes_per_s", s.State.ChangesPerS, 1, unbounded},
		{"state.value_kb", s.State.ValueKB, 1, 1024},
		{"state.txn_ops", float64(s.State.TxnOps), 2, 1000},
		{"state.answer_ms", s.State.AnswerMS, 0, 1000},
		{"cloud.requests_per_s", s.Cloud.RequestsPerS, 0.1, unbounded},
		{"cloud.list_lag_s", s.Cloud.ListLagS, 0, 600},
		{"cloud.answer_ms", s.Cloud.AnswerMS, 0, 1000},
		{"configuration.changes", float64(s.Configuration.Changes), 0, 10_000},
		{"configuration.from_s", s.Configuration.FromS, 0, s.DurationS},
		{"configuration.for_s", s.Configuration.ForS, 0, s.DurationS},
		{"limits.cpu", s.Limits.CPU, positive, 64},
		{"limits.memory_mb", s.Limits.MemoryMB, 16, unbounded},
		{"limits.max_connections", float64(s.Limits.MaxConns), 50, unbounded},
	}
	if err := checkFields(fields); err != nil {
		return err
	}
	return errors.Join(s.validateTypes(), s.validateTeams(), s.validateLoad(), s.validateFaults())
}

func (s *Site) validateTypes() error {
	if len(s.Types) == 0 {
		return missing("types")
	}
	for i, t := range s.Types {
		at := fmt.Sprintf("types[%d].", i)
		if t.Name == "" {
			return missing(at + "name")
		}
		err := checkFields([]field{
			{at + "part", t.Fraction, 0, 1},
			{at + "cpus", t.CPUs, positive, 1024},
			{at + "memory_gb", t.MemoryGB, positive, unbounded},
			{at + "cache_gb", t.CacheGB, 0, unbounded},
			{at + "fetch_gb_per_s", t.FetchGBPS, positive, 1000},
			{at + "price", t.Price, positive, unbounded},
			{at + "spot_price", t.SpotPrice, positive, unbounded},
			{at + "boot_s", t.BootS, 0, 600},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) validateTeams() error {
	if len(s.Teams) == 0 {
		return missing("teams")
	}
	for i, t := range s.Teams {
		at := fmt.Sprintf("teams[%d].", i)
		if t.Prefix == "" {
			return missing(at + "prefix")
		}
		err := checkFields([]field{{at + "count", float64(t.Count), 1, 1000}, {at + "cpus", t.CPUs, 0, unbounded}, {at + "cpus_max", t.MaxCPUs, 0, unbounded}})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) validateLoad() error {
	if len(s.Load) == 0 {
		return missing("load")
	}
	for i, l := range s.Load {
		at := fmt.Sprintf("load[%d].", i)
		if l.Class == "" {
			return missing(at + "class")
		}
		if l.Kind != protocol.KindJobArray && l.Kind != protocol.KindGang {
			return invalid(at+"kind", "%q is neither %q nor %q", l.Kind, protocol.KindJobArray, protocol.KindGang)
		}
		if !l.Priority.Known() {
			return invalid(at+"priority", "%q is unknown", l.Priority)
		}
		if len(l.Tasks) == 0 {
			return missing(at + "tasks")
		}
		if slices.Min(l.Tasks) < 1 || slices.Max(l.Tasks) > protocol.MaxTasks {
			return invalid(at+"tasks", "%v is not from 1 to %d", l.Tasks, protocol.MaxTasks)
		}
		err := checkFields([]field{
			{at + "from_s", l.FromS, 0, s.DurationS},
			{at + "until_s", l.UntilS, l.FromS, s.DurationS},
			{at + "jobs_per_s", l.JobsPerS, positive, 10_000},
			{at + "cpus", l.CPUs, positive, 1024},
			{at + "memory_gb", l.MemoryGB, 0, unbounded},
			{at + "image_gb", l.ImageGB, 0, 1000},
			{at + "images", float64(l.Images), 1, 10_000},
			{at + "run_s", l.RunS, 0.1, 1e6},
			{at + "cancelled", l.CancelledFraction, 0, 1},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) validateFaults() error {
	for i, fault := range s.Faults {
		at := fmt.Sprintf("troubles[%d].", i)
		fields := []field{{at + "at_s", fault.AtS, 0, s.DurationS}, {at + "for_s", fault.ForS, 0, s.DurationS}}
		switch fault.Kind {
		case FaultKillController, FaultPauseController:
			fields = append(fields, field{at + "count", float64(fault.Count), 1, float64(s.Controllers)})
		case FaultKillAllControllers:
			fields = append(fields, field{at + "every_s", fault.EveryS, 0.1, s.DurationS})
		case FaultPauseZone:
			fields = append(fields, field{at + "zone", float64(fault.Zone), 0, float64(s.Zones - 1)})
		case FaultPartitionRegion:
			fields = append(fields, field{at + "region", float64(fault.Region), 0, float64(s.Regions - 1)})
		case FaultKillMachines:
			fields = append(fields, field{at + "count", float64(fault.Count), 1, float64(s.Workers)})
		case FaultRestartWorkers:
			fields = append(fields, field{at + "every_s", fault.EveryS, 0.01, s.DurationS})
		default:
			return invalid(at+"kind", "%q is unknown", fault.Kind)
		}
		if err := checkFields(fields); err != nil {
			return err
		}
	}
	return nil
}
