package simulator

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// Site is a site to emulate: what it has, what comes and what happens to it.
// All amounts are those of the protocol; durations are in seconds.
type Site struct {
	// Start is when the emulation begins, in the world's calendar.
	Start time.Time `toml:"start"`
	// Machines is how many the cloud has at the most, in each zone its part.
	Machines int    `toml:"machines"`
	Types    []Type `toml:"types"`
	Teams    []Team `toml:"teams"`
	// ReportS and LeaseS are the workers' times.
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`

	Load         []Load        `toml:"load"`
	Reservations []Reservation `toml:"reservations"`
	Windows      []Window      `toml:"windows"`
	Troubles     Troubles      `toml:"troubles"`
	StepMS       int           `toml:"step_ms"` // between the ticks of controllers and watches
}

// Type is a machine type.
type Type struct {
	Name      protocol.MachineType `toml:"name"`
	CPUs      float64              `toml:"cpus"`
	GPUs      float64              `toml:"gpus"`
	MemoryGB  float64              `toml:"memory_gb"`
	FetchGBPS float64              `toml:"fetch_gb_per_s"`
	Price     float64              `toml:"price"`
	SpotPrice float64              `toml:"spot_price"`
	BootS     float64              `toml:"boot_s"`
	Zones     []protocol.Zone      `toml:"zones"`
}

// Team is a team with its guarantee and its limit.
type Team struct {
	Name    protocol.Team `toml:"name"`
	CPUs    float64       `toml:"cpus"`
	MaxCPUs float64       `toml:"cpus_max"`
}

// Load is jobs of a class that come at random, so often on average.
type Load struct {
	Class       string            `toml:"class"`
	Team        protocol.Team     `toml:"team"`
	Priority    protocol.Priority `toml:"priority"`
	EveryS      float64           `toml:"every_s"`
	Tasks       int               `toml:"tasks"` // on average
	CPUs        float64           `toml:"cpus"`
	EstimateS   float64           `toml:"estimate_s"`
	Factor      float64           `toml:"factor"` // true run times by estimate
	CheckpointS float64           `toml:"checkpoint_s"`
	SaveS       float64           `toml:"save_s"`
	Spot        bool              `toml:"spot"`
}

// Reservation is a reservation with the jobs that come for it.
type Reservation struct {
	Name     record.EntryName  `toml:"name"`
	Class    string            `toml:"class"`
	Team     protocol.Team     `toml:"team"`
	Priority protocol.Priority `toml:"priority"`
	When     string            `toml:"when"`
	HoldS    float64           `toml:"hold_s"`
	LengthS  float64           `toml:"length_s"`
	Tasks    int               `toml:"tasks"`
	CPUs     float64           `toml:"cpus"`
	MemoryGB float64           `toml:"memory_gb"`
	Zone     protocol.Zone     `toml:"zone"`
	OneZone  bool              `toml:"one_zone"`
	Gang     bool              `toml:"gang"`
	// ComesS is how long after its time the job comes; below 0: before it.
	ComesS float64 `toml:"comes_s"`
	// Never: no job ever comes for it.
	Never bool `toml:"never"`
	// More is how many tasks the job has beyond what is reserved.
	More int `toml:"more"`
}

// Window is a maintenance window.
type Window struct {
	Name    record.EntryName     `toml:"name"`
	When    string               `toml:"when"`
	LengthS float64              `toml:"length_s"`
	Type    protocol.MachineType `toml:"type"`
	Zone    protocol.Zone        `toml:"zone"`
}

// Troubles is how often what happens, on average a day, at moments drawn by the
// seed; every second one falls into the minutes before a reservation's time.
type Troubles struct {
	Crash       float64 `toml:"crash"`        // a controller ends
	AllCrash    float64 `toml:"all_crash"`    // all controllers end
	Cut         float64 `toml:"cut"`          // a controller is cut off from the state service
	StateOutage float64 `toml:"state_outage"` // the state service is out, up to 20 s
	CloudSilent float64 `toml:"cloud_silent"` // the cloud is silent for ten minutes
	SpotWave    float64 `toml:"spot_wave"`    // a third of the spot machines are taken
	Lost        float64 `toml:"lost"`         // a machine is lost
	Slow        float64 `toml:"slow"`         // a controller is five times slower for two minutes
	Frozen      float64 `toml:"frozen"`       // a controller stands still for 40 s, clocks running on
	Deaf        float64 `toml:"deaf"`         // a controller is cut off from the workers for a minute
	Leave       float64 `toml:"leave"`        // a controller is told to end by a signal
	Roll        float64 `toml:"roll"`         // all controllers are, one after the other
	Move        float64 `toml:"move"`         // up to 16 shares are moved from one controller to another
}

// LoadSite reads a site's file.
func LoadSite(path string) (*Site, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return ParseSite(b)
}

// ParseSite reads and checks a site; its errors name the field.
func ParseSite(b []byte) (*Site, error) {
	s := &Site{ReportS: 10, LeaseS: 45, StepMS: 1000}
	if err := config.DecodeStrict(b, s); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return s, nil
}

func (s *Site) check() error {
	switch {
	case s.Start.IsZero():
		return errors.New("start: missing")
	case s.Machines < 1 || s.Machines > 20_000:
		return fmt.Errorf("machines: %d is not from 1 to 20000", s.Machines)
	case len(s.Types) == 0 || len(s.Teams) == 0:
		return errors.New("types, teams: one of each is needed")
	case !(s.ReportS > 0) || !(s.LeaseS > s.ReportS):
		return errors.New("report_s, lease_s: not above 0, or a lease no longer than a report period")
	}
	if s.StepMS < 10 || s.StepMS > 1000 {
		return fmt.Errorf("step_ms: %d is not from 10 to 1000", s.StepMS)
	}
	teams := map[protocol.Team]bool{}
	for _, t := range s.Teams {
		teams[t.Name] = true
	}
	for _, t := range s.Types {
		if t.Name == "" || !(t.CPUs > 0) || !(t.MemoryGB > 0) || !(t.BootS > 0) || len(t.Zones) == 0 {
			return fmt.Errorf("types: %q lacks a name, processors, memory, a boot time or zones", t.Name)
		}
	}
	for _, l := range s.Load {
		if !teams[l.Team] || !l.Priority.Known() || !(l.EveryS > 0) || l.Tasks < 1 || !(l.EstimateS > 0) || !(l.Factor > 0) {
			return fmt.Errorf("load: %q: a team or a priority that is not there, or an amount not above 0", l.Class)
		}
	}
	for _, r := range s.Reservations {
		if !teams[r.Team] || r.Class == "" {
			return fmt.Errorf("reservations: %q: a team that is not there, or no class", r.Name)
		}
	}
	return nil
}

// settings is the site as a controller's settings have it.
func (s *Site) settings() *config.Settings {
	c := &config.Settings{}
	c.Site.Count = 3
	for _, t := range s.Teams {
		c.Site.Teams = append(c.Site.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, MaxCPUs: t.MaxCPUs})
	}
	c.Site.Zones = slices.Sorted(maps.Keys(s.zones()))
	c.Site.ClockErrorMS = 100
	c.Site.Workers = config.Workers{ReportS: s.ReportS, LeaseS: s.LeaseS, GangWaitS: 60, GangPeerS: 10, CancelS: 2 * s.LeaseS}
	c.Site.State = config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12}
	c.Site.Cloud = config.Cloud{RPS: 5, ListLagS: 2}
	return c
}

// zones lists the zones of all types; each has its part of the machines.
func (s *Site) zones() map[protocol.Zone]bool {
	zones := map[protocol.Zone]bool{}
	for _, t := range s.Types {
		for _, z := range t.Zones {
			zones[z] = true
		}
	}
	return zones
}

// infos are the machine types as the cloud lists them.
func (s *Site) infos() []protocol.TypeInfo {
	var ts []protocol.TypeInfo
	for _, t := range s.Types {
		ts = append(ts, protocol.TypeInfo{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, FetchGBPS: max(t.FetchGBPS, 0.1),
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, AllowZones: t.Zones,
		})
	}
	return ts
}

// spec is what an operator would ask for.
func (r *Reservation) spec() *record.ReservationSpec {
	return &record.ReservationSpec{
		Name: r.Name, Class: r.Class, Team: r.Team, When: r.When, HoldS: r.HoldS, LengthS: r.LengthS,
		Tasks: r.Tasks, CPUs: r.CPUs, MemoryGB: r.MemoryGB, Zone: r.Zone, OneZone: r.OneZone, Priority: r.Priority,
	}
}

// spec is what an operator would ask for.
func (w *Window) spec() *record.WindowSpec {
	return &record.WindowSpec{Name: w.Name, When: w.When, LengthS: w.LengthS, Type: w.Type, Zone: w.Zone}
}
