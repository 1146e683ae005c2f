package siteconfig

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"damsonkeel/internal/protocol"
)

// FieldError reports an invalid field of a site.
type FieldError struct {
	Field   string // path of the field, such as "load[0].tasks"
	Problem string
}

// Error returns the path of the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// invalidField returns a FieldError with a formatted problem.
func invalidField(name, format string, args ...any) error {
	return &FieldError{Field: name, Problem: fmt.Sprintf(format, args...)}
}

// missingField returns the FieldError of a field that is missing or empty.
func missingField(name string) error { return invalidField(name, "missing") }

// numberField is a numeric field with its valid range, bounds included.
type numberField struct {
	name         string
	value        float64
	lower, upper float64
}

// check returns a FieldError unless the value is in its range.
func (f numberField) check() error {
	if math.IsNaN(f.value) || f.value < f.lower || f.value > f.upper {
		return invalidField(f.name, "%v is not from %v to %v", f.value, f.lower, f.upper)
	}
	return nil
}

// Bounds that several fields share. noUpperBound stands for fields without a meaningful upper
// bound, minPositive for fields that must be above 0.
const (
	maxDurationS = 3600
	maxWorkers   = 20_000
	noUpperBound = 1e9
	minPositive  = 1e-9
)

// checkFields returns the FieldError of the first field that is out of its range.
func checkFields(fields []numberField) error {
	for _, f := range fields {
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an error that names the invalid fields: a missing name or the first invalid one of
// the numbers of the site, timings, services, configuration changes and controller limits or, if
// these are valid, the first one each of the types, teams, loads and faults. It returns nil if the
// site is valid.
func (s *Site) validate() error {
	if s.Name == "" {
		return missingField("name")
	}
	fields := []numberField{
		{"duration_s", s.DurationS, 10, maxDurationS},
		{"controllers", float64(s.Controllers), 1, 50},
		{"regions", float64(s.Regions), 1, 50},
		{"zones", float64(s.Zones), float64(s.Regions), 100},
		{"workers", float64(s.Workers), float64(s.Zones), maxWorkers},
		{"spare_workers", float64(s.SpareWorkers), 0, maxWorkers},
		{"between_regions_ms", s.BetweenRegionsMS, 0, 1000},
		{"to_services_ms", s.ToServicesMS, 0, 1000},
		{"restart_s", s.RestartS, 0, maxDurationS},
		{"command_copies", s.CommandCopies, 0, 1},
		{"idle_return_s", s.IdleReturnS, 0.1, maxDurationS},
		{"timings.report_s", s.Timings.ReportS, 0.5, 60},
		{"timings.lease_s", s.Timings.LeaseS, 1, 600},
		{"timings.gang_wait_s", s.Timings.GangWaitS, 1, 600},
		{"timings.gang_peer_s", s.Timings.GangPeerS, 1, 600},
		{"timings.cancel_s", s.Timings.CancelS, 1, 600},
		{"state.requests_per_s", s.State.RequestsPerS, 1, noUpperBound},
		{"state.changes_per_s", s.State.ChangesPerS, 1, noUpperBound},
		{"state.value_kb", s.State.ValueKB, 1, 1024},
		{"state.txn_ops", float64(s.State.TxnOps), 2, 1000},
		{"state.answer_ms", s.State.AnswerMS, 0, 1000},
		{"cloud.requests_per_s", s.Cloud.RequestsPerS, 0.1, noUpperBound},
		{"cloud.list_lag_s", s.Cloud.ListLagS, 0, 600},
		{"cloud.answer_ms", s.Cloud.AnswerMS, 0, 1000},
		{"configuration.changes", float64(s.Configuration.Changes), 0, 10_000},
		{"configuration.from_s", s.Configuration.FromS, 0, s.DurationS},
		{"configuration.for_s", s.Configuration.ForS, 0, s.DurationS},
		{"limits.cpu", s.Limits.CPU, minPositive, 64},
		{"limits.memory_mb", s.Limits.MemoryMB, 16, noUpperBound},
		{"limits.max_connections", float64(s.Limits.MaxConns), 50, noUpperBound},
	}
	if err := checkFields(fields); err != nil {
		return err
	}
	return errors.Join(s.validateTypes(), s.validateTeams(), s.validateLoad(), s.validateFaults())
}

// validateTypes returns the FieldError of the first invalid field of the machine types.
func (s *Site) validateTypes() error {
	if len(s.Types) == 0 {
		return missingField("types")
	}
	for i, t := range s.Types {
		prefix := fmt.Sprintf("types[%d].", i)
		if t.Name == "" {
			return missingField(prefix + "name")
		}
		err := checkFields([]numberField{
			{prefix + "part", t.Fraction, 0, 1},
			{prefix + "cpus", t.CPUs, minPositive, 1024},
			{prefix + "memory_gb", t.MemoryGB, minPositive, noUpperBound},
			{prefix + "cache_gb", t.CacheGB, 0, noUpperBound},
			{prefix + "fetch_gb_per_s", t.FetchGBPS, minPositive, 1000},
			{prefix + "price", t.Price, minPositive, noUpperBound},
			{prefix + "spot_price", t.SpotPrice, minPositive, noUpperBound},
			{prefix + "boot_s", t.BootS, 0, 600},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateTeams returns the FieldError of the first invalid field of the teams.
func (s *Site) validateTeams() error {
	if len(s.Teams) == 0 {
		return missingField("teams")
	}
	for i, t := range s.Teams {
		prefix := fmt.Sprintf("teams[%d].", i)
		if t.Prefix == "" {
			return missingField(prefix + "prefix")
		}
		err := checkFields([]numberField{{prefix + "count", float64(t.Count), 1, 1000}, {prefix + "cpus", t.CPUs, 0, noUpperBound}, {prefix + "cpus_max", t.MaxCPUs, 0, noUpperBound}})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateLoad returns the FieldError of the first invalid field of the loads.
func (s *Site) validateLoad() error {
	if len(s.Load) == 0 {
		return missingField("load")
	}
	for i, l := range s.Load {
		prefix := fmt.Sprintf("load[%d].", i)
		if l.Class == "" {
			return missingField(prefix + "class")
		}
		if l.Kind != protocol.KindJobArray && l.Kind != protocol.KindGang {
			return invalidField(prefix+"kind", "%q is neither %q nor %q", l.Kind, protocol.KindJobArray, protocol.KindGang)
		}
		if !l.Priority.Known() {
			return invalidField(prefix+"priority", "%q is unknown", l.Priority)
		}
		if len(l.Tasks) == 0 {
			return missingField(prefix + "tasks")
		}
		if slices.Min(l.Tasks) < 1 || slices.Max(l.Tasks) > protocol.MaxTasks {
			return invalidField(prefix+"tasks", "%v is not from 1 to %d", l.Tasks, protocol.MaxTasks)
		}
		err := checkFields([]numberField{
			{prefix + "from_s", l.FromS, 0, s.DurationS},
			{prefix + "until_s", l.UntilS, l.FromS, s.DurationS},
			{prefix + "jobs_per_s", l.JobsPerS, minPositive, 10_000},
			{prefix + "cpus", l.CPUs, minPositive, 1024},
			{prefix + "memory_gb", l.MemoryGB, 0, noUpperBound},
			{prefix + "image_gb", l.ImageGB, 0, 1000},
			{prefix + "images", float64(l.Images), 1, 10_000},
			{prefix + "run_s", l.RunS, 0.1, 1e6},
			{prefix + "cancelled", l.CancelledFraction, 0, 1},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// validateFaults returns the FieldError of the first invalid field of the faults.
func (s *Site) validateFaults() error {
	for i, fault := range s.Faults {
		prefix := fmt.Sprintf("troubles[%d].", i)
		fields := []numberField{{prefix + "at_s", fault.AtS, 0, s.DurationS}, {prefix + "for_s", fault.ForS, 0, s.DurationS}}
		switch fault.Kind {
		case FaultKillController, FaultPauseController:
			fields = append(fields, numberField{prefix + "count", float64(fault.Count), 1, float64(s.Controllers)})
		case FaultKillAllControllers:
			fields = append(fields, numberField{prefix + "every_s", fault.EveryS, 0.1, s.DurationS})
		case FaultPauseZone:
			fields = append(fields, numberField{prefix + "zone", float64(fault.Zone), 0, float64(s.Zones - 1)})
		case FaultPartitionRegion:
			fields = append(fields, numberField{prefix + "region", float64(fault.Region), 0, float64(s.Regions - 1)})
		case FaultKillMachines:
			fields = append(fields, numberField{prefix + "count", float64(fault.Count), 1, float64(s.Workers)})
		case FaultRestartWorkers:
			fields = append(fields, numberField{prefix + "every_s", fault.EveryS, 0.01, s.DurationS})
		default:
			return invalidField(prefix+"kind", "%q is unknown", fault.Kind)
		}
		if err := checkFields(fields); err != nil {
			return err
		}
	}
	return nil
}
