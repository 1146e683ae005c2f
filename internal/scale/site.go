// Package scale plays a site of many machines in real time on one machine: real
// controllers, stand-in workers of which most share processes, stand-ins for the
// services and users, with delays and cuts between regions. It measures what each
// role spends and checks the rules by what users and workers saw.
package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
)

// Site is what is played. Durations are in seconds unless a name says otherwise.
type Site struct {
	Name        string  `toml:"name"`
	DurationS   float64 `toml:"duration_s"`
	Controllers int     `toml:"controllers"`
	Regions     int     `toml:"regions"`
	Zones       int     `toml:"zones"`
	// Workers is how many machines are up at the start; SpareWorkers is how many more
	// the cloud has to rent.
	Workers      int `toml:"workers"`
	SpareWorkers int `toml:"spare_workers"`
	// BetweenRegionsMS is how long a message takes from one region to another, and
	// ToServicesMS how long to the state service and the cloud, one way.
	BetweenRegionsMS float64 `toml:"between_regions_ms"`
	ToServicesMS     float64 `toml:"to_services_ms"`
	// RestartS is after how long a controller that was killed is started again.
	RestartS float64 `toml:"restart_s"`
	// IdleReturnS is how long the service keeps idle machines.
	IdleReturnS float64 `toml:"idle_return_s"`

	Timings    Timings     `toml:"timings"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
	Types      []Type      `toml:"types"`
	Teams      []Teams     `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Load       []Load      `toml:"load"`
	Troubles   []Trouble   `toml:"troubles"`
	// Configuration, if it has changes, is what operators change meanwhile.
	Configuration Configuration `toml:"configuration"`
}

// Configuration is how operators change the configuration: so many changes, evenly over
// a time.
type Configuration struct {
	Changes int     `toml:"changes"`
	FromS   float64 `toml:"from_s"`
	ForS    float64 `toml:"for_s"`
}

// Timings are the workers' times.
type Timings struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the limits of the state service and how long it takes to answer.
type State struct {
	RequestsPerS float64 `toml:"requests_per_s"`
	ChangesPerS  float64 `toml:"changes_per_s"`
	ValueKB      float64 `toml:"value_kb"`
	TxnOps       int     `toml:"txn_ops"`
	AnswerMS     float64 `toml:"answer_ms"`
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RequestsPerS float64 `toml:"requests_per_s"`
	ListLagS     float64 `toml:"list_lag_s"`
	AnswerMS     float64 `toml:"answer_ms"`
}

// Limits are what a controller is told that it may use.
type Limits struct {
	CPU      float64 `toml:"cpu"`
	MemoryMB float64 `toml:"memory_mb"`
	MaxConns int     `toml:"max_connections"`
}

// Type is a machine type; Part is which part of the machines is of it.
type Type struct {
	Name      protocol.MachineType `toml:"name"`
	Part      float64              `toml:"part"`
	CPUs      float64              `toml:"cpus"`
	MemoryGB  float64              `toml:"memory_gb"`
	CacheGB   float64              `toml:"cache_gb"`
	FetchGBPS float64              `toml:"fetch_gb_per_s"`
	Price     float64              `toml:"price"`
	SpotPrice float64              `toml:"spot_price"`
	BootS     float64              `toml:"boot_s"`
}

// Teams are several teams alike.
type Teams struct {
	Prefix  string  `toml:"prefix"`
	Count   int     `toml:"count"`
	CPUs    float64 `toml:"cpus"`
	MaxCPUs float64 `toml:"cpus_max"`
}

// Objective is what is expected of a class.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Load is jobs of a class that come at random while it lasts.
type Load struct {
	Class     string            `toml:"class"`
	Kind      protocol.Kind     `toml:"kind"`
	Priority  protocol.Priority `toml:"priority"`
	FromS     float64           `toml:"from_s"`
	UntilS    float64           `toml:"until_s"`
	JobsPerS  float64           `toml:"jobs_per_s"`
	Tasks     []int             `toml:"tasks"` // sizes of jobs, each as often
	CPUs      float64           `toml:"cpus"`
	MemoryGB  float64           `toml:"memory_gb"`
	ImageGB   float64           `toml:"image_gb"`
	Images    int               `toml:"images"`
	RunS      float64           `toml:"run_s"`
	Cancelled float64           `toml:"cancelled"` // part of the jobs that is cancelled
	OneZone   bool              `toml:"one_zone"`
}

// TroubleKind is what goes wrong.
type TroubleKind string

// The kinds of troubles.
const (
	// TroubleKillController kills Count controllers at once.
	TroubleKillController TroubleKind = "kill_controller"
	// TroubleKillAll kills all controllers, one every EveryS.
	TroubleKillAll TroubleKind = "kill_all"
	// TroubleStopController has Count controllers stand still for ForS.
	TroubleStopController TroubleKind = "stop_controller"
	// TroubleStopZone has the shared worker process of a zone stand still for ForS.
	TroubleStopZone TroubleKind = "stop_zone"
	// TroubleCutRegion cuts a region off from all others and from the services.
	TroubleCutRegion TroubleKind = "cut_region"
	// TroubleMachinesDie has Count machines stop with all that is on them.
	TroubleMachinesDie TroubleKind = "machines_die"
	// TroubleRestartWorkers restarts a worker every EveryS, for ForS.
	TroubleRestartWorkers TroubleKind = "restart_workers"
)

// Trouble is one thing that goes wrong.
type Trouble struct {
	AtS    float64     `toml:"at_s"`
	Kind   TroubleKind `toml:"kind"`
	ForS   float64     `toml:"for_s"`
	EveryS float64     `toml:"every_s"`
	Count  int         `toml:"count"`
	Zone   int         `toml:"zone"`   // counted from 0
	Region int         `toml:"region"` // counted from 0
}

// LoadSite reads and checks a site file.
func LoadSite(path string) (*Site, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return ParseSite(b)
}

// ParseSite reads and checks a site. Unknown fields and bad values are named.
func ParseSite(b []byte) (*Site, error) {
	s := &Site{}
	if err := config.DecodeStrict(b, s); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return s, nil
}

// field is an amount with the range that it has to be in.
type field struct {
	name        string
	value       float64
	least, most float64
}

func (f field) check() error {
	if math.IsNaN(f.value) || f.value < f.least || f.value > f.most {
		return fmt.Errorf("%s: %v is not from %v to %v", f.name, f.value, f.least, f.most)
	}
	return nil
}

const (
	maxDurationS = 3600
	maxWorkers   = 20_000
	anyAmount    = 1e9
	tiny         = 1e-9
)

func (s *Site) check() error {
	if s.Name == "" {
		return errors.New("name: missing")
	}
	fields := []field{
		{"duration_s", s.DurationS, 10, maxDurationS}, {"controllers", float64(s.Controllers), 1, 50},
		{"regions", float64(s.Regions), 1, 50}, {"zones", float64(s.Zones), float64(s.Regions), 100},
		{"workers", float64(s.Workers), float64(s.Zones), maxWorkers}, {"spare_workers", float64(s.SpareWorkers), 0, maxWorkers},
		{"between_regions_ms", s.BetweenRegionsMS, 0, 1000}, {"to_services_ms", s.ToServicesMS, 0, 1000},
		{"restart_s", s.RestartS, 0, maxDurationS}, {"idle_return_s", s.IdleReturnS, 0.1, maxDurationS},
		{"timings.report_s", s.Timings.ReportS, 0.5, 60}, {"timings.lease_s", s.Timings.LeaseS, 1, 600},
		{"timings.gang_wait_s", s.Timings.GangWaitS, 1, 600}, {"timings.gang_peer_s", s.Timings.GangPeerS, 1, 600},
		{"timings.cancel_s", s.Timings.CancelS, 1, 600},
		{"state.requests_per_s", s.State.RequestsPerS, 1, anyAmount}, {"state.changes_per_s", s.State.ChangesPerS, 1, anyAmount},
		{"state.value_kb", s.State.ValueKB, 1, 1024}, {"state.txn_ops", float64(s.State.TxnOps), 2, 1000}, {"state.answer_ms", s.State.AnswerMS, 0, 1000},
		{"cloud.requests_per_s", s.Cloud.RequestsPerS, 0.1, anyAmount}, {"cloud.list_lag_s", s.Cloud.ListLagS, 0, 600}, {"cloud.answer_ms", s.Cloud.AnswerMS, 0, 1000},
		{"configuration.changes", float64(s.Configuration.Changes), 0, 10_000},
		{"configuration.from_s", s.Configuration.FromS, 0, s.DurationS}, {"configuration.for_s", s.Configuration.ForS, 0, s.DurationS},
		{"limits.cpu", s.Limits.CPU, tiny, 64}, {"limits.memory_mb", s.Limits.MemoryMB, 16, anyAmount}, {"limits.max_connections", float64(s.Limits.MaxConns), 50, anyAmount},
	}
	if err := checkFields(fields); err != nil {
		return err
	}
	return errors.Join(s.checkTypes(), s.checkTeams(), s.checkLoad(), s.checkTroubles())
}

func checkFields(fields []field) error {
	for _, f := range fields {
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) checkTypes() error {
	if len(s.Types) == 0 {
		return errors.New("types: missing")
	}
	for i, t := range s.Types {
		at := fmt.Sprintf("types[%d].", i)
		if t.Name == "" {
			return errors.New(at + "name: missing")
		}
		err := checkFields([]field{
			{at + "part", t.Part, 0, 1}, {at + "cpus", t.CPUs, tiny, 1024}, {at + "memory_gb", t.MemoryGB, tiny, anyAmount},
			{at + "cache_gb", t.CacheGB, 0, anyAmount}, {at + "fetch_gb_per_s", t.FetchGBPS, tiny, 1000},
			{at + "price", t.Price, tiny, anyAmount}, {at + "spot_price", t.SpotPrice, tiny, anyAmount}, {at + "boot_s", t.BootS, 0, 600},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) checkTeams() error {
	if len(s.Teams) == 0 {
		return errors.New("teams: missing")
	}
	for i, t := range s.Teams {
		at := fmt.Sprintf("teams[%d].", i)
		if t.Prefix == "" {
			return errors.New(at + "prefix: missing")
		}
		err := checkFields([]field{{at + "count", float64(t.Count), 1, 1000}, {at + "cpus", t.CPUs, 0, anyAmount}, {at + "cpus_max", t.MaxCPUs, 0, anyAmount}})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) checkLoad() error {
	if len(s.Load) == 0 {
		return errors.New("load: missing")
	}
	for i, l := range s.Load {
		at := fmt.Sprintf("load[%d].", i)
		if l.Class == "" {
			return errors.New(at + "class: missing")
		}
		if l.Kind != protocol.KindJobArray && l.Kind != protocol.KindGang {
			return fmt.Errorf("%skind: %q is neither %q nor %q", at, l.Kind, protocol.KindJobArray, protocol.KindGang)
		}
		if !l.Priority.Known() {
			return fmt.Errorf("%spriority: %q is unknown", at, l.Priority)
		}
		if len(l.Tasks) == 0 {
			return errors.New(at + "tasks: missing")
		}
		if least, most := slices.Min(l.Tasks), slices.Max(l.Tasks); least < 1 || most > protocol.MaxTasks {
			return fmt.Errorf("%stasks: %v is not from 1 to %d", at, l.Tasks, protocol.MaxTasks)
		}
		err := checkFields([]field{
			{at + "from_s", l.FromS, 0, s.DurationS}, {at + "until_s", l.UntilS, l.FromS, s.DurationS}, {at + "jobs_per_s", l.JobsPerS, tiny, 10_000},
			{at + "cpus", l.CPUs, tiny, 1024}, {at + "memory_gb", l.MemoryGB, 0, anyAmount}, {at + "image_gb", l.ImageGB, 0, 1000},
			{at + "images", float64(l.Images), 1, 10_000}, {at + "run_s", l.RunS, 0.1, 1e6}, {at + "cancelled", l.Cancelled, 0, 1},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) checkTroubles() error {
	for i, t := range s.Troubles {
		at := fmt.Sprintf("troubles[%d].", i)
		fields := []field{{at + "at_s", t.AtS, 0, s.DurationS}, {at + "for_s", t.ForS, 0, s.DurationS}}
		switch t.Kind {
		case TroubleKillController, TroubleStopController:
			fields = append(fields, field{at + "count", float64(t.Count), 1, float64(s.Controllers)})
		case TroubleKillAll:
			fields = append(fields, field{at + "every_s", t.EveryS, 0.1, s.DurationS})
		case TroubleStopZone:
			fields = append(fields, field{at + "zone", float64(t.Zone), 0, float64(s.Zones - 1)})
		case TroubleCutRegion:
			fields = append(fields, field{at + "region", float64(t.Region), 0, float64(s.Regions - 1)})
		case TroubleMachinesDie:
			fields = append(fields, field{at + "count", float64(t.Count), 1, float64(s.Workers)})
		case TroubleRestartWorkers:
			fields = append(fields, field{at + "every_s", t.EveryS, 0.01, s.DurationS})
		default:
			return fmt.Errorf("%skind: %q is unknown", at, t.Kind)
		}
		if err := checkFields(fields); err != nil {
			return err
		}
	}
	return nil
}

// Scaled is the site with so many times the workers, teams' processors and arrivals.
// Controllers, zones and the services' limits stay.
func (s *Site) Scaled(factor float64) *Site {
	count := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	out := *s
	out.Workers = max(s.Zones, count(s.Workers))
	out.SpareWorkers = count(s.SpareWorkers)
	out.Teams = slices.Clone(s.Teams)
	for i := range out.Teams {
		out.Teams[i].CPUs *= factor
		out.Teams[i].MaxCPUs *= factor
	}
	out.Load = slices.Clone(s.Load)
	for i := range out.Load {
		out.Load[i].JobsPerS *= factor
	}
	out.Troubles = slices.Clone(s.Troubles)
	for i, t := range out.Troubles {
		switch t.Kind {
		case TroubleMachinesDie:
			out.Troubles[i].Count = count(t.Count)
		case TroubleRestartWorkers:
			out.Troubles[i].EveryS /= factor
		}
	}
	return &out
}

// RegionOfZone is which region a zone is in; zones are dealt out in turn.
func (s *Site) RegionOfZone(zone int) int { return zone % s.Regions }

// ZoneName is the name of a zone: that of its region and a number in it.
func (s *Site) ZoneName(zone int) protocol.Zone {
	return protocol.Zone(fmt.Sprintf("r%dz%d", s.RegionOfZone(zone)+1, zone/s.Regions+1))
}

// ZoneOfController is the zone that a controller is in; neighbours are in different
// regions.
func (s *Site) ZoneOfController(controller int) int { return controller % s.Zones }

// TeamNames lists the teams.
func (s *Site) TeamNames() []protocol.Team {
	var names []protocol.Team
	for _, t := range s.Teams {
		for i := range t.Count {
			names = append(names, protocol.Team(fmt.Sprintf("%s%02d", t.Prefix, i)))
		}
	}
	return names
}

// MaxFactor is by how much a site may be scaled at the most.
const MaxFactor = 4
