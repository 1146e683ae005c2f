package compat

import "github.com/fxamacker/cbor/v2"

// The structs of this file are frozen copies of the records and messages that are encoded
// as CBOR. Only their tags matter. Named types are replaced by basic types, and an
// embedded struct by its fields.

// taskText is the text form of a task id.
type taskText string

type cborNode struct {
	Session uint64 `cbor:"session"`
	Layout  int    `cbor:"layout,omitempty"`
}

type cborBlockEntry struct {
	ID      string `cbor:"id"`
	Epoch   uint64 `cbor:"epoch"`
	Session uint64 `cbor:"session"`
	Address string `cbor:"address"`
	Type    string `cbor:"type"`
	Zone    string `cbor:"zone"`
	Spot    bool   `cbor:"spot"`
}

type cborBlock struct {
	Machines []cborBlockEntry `cbor:"machines"`
}

type cborMachine struct {
	Session uint64 `cbor:"session"`
	Address string `cbor:"address"`
	Type    string `cbor:"type"`
	Zone    string `cbor:"zone"`
	Spot    bool   `cbor:"spot"`
}

type cborJobRecord struct {
	State string `cbor:"state"`
	Tasks uint32 `cbor:"tasks"`
}

type cborBits struct {
	Bits string `cbor:"bits"`
}

type cborCalendar struct {
	Changes uint64 `cbor:"changes"`
}

type cborReservationSpec struct {
	Name     string   `cbor:"name"`
	Job      string   `cbor:"job,omitempty"`
	Class    string   `cbor:"class,omitempty"`
	Team     string   `cbor:"team,omitempty"`
	When     string   `cbor:"when"`
	HoldS    float64  `cbor:"hold_s"`
	LengthS  float64  `cbor:"length_s"`
	Tasks    int      `cbor:"tasks"`
	CPUs     float64  `cbor:"cpus"`
	GPUs     float64  `cbor:"gpus,omitempty"`
	MemoryGB float64  `cbor:"memory_gb,omitempty"`
	Types    []string `cbor:"types,omitempty"`
	Zone     string   `cbor:"zone,omitempty"`
	OneZone  bool     `cbor:"one_zone,omitempty"`
	Spot     bool     `cbor:"spot,omitempty"`
	Priority string   `cbor:"priority"`
}

type cborOutcome struct {
	StartMS int64  `cbor:"start_ms"`
	State   string `cbor:"state"`
	EndMS   int64  `cbor:"end_ms"`
	Risk    string `cbor:"risk,omitempty"`
}

type cborReservation struct {
	Spec    cborReservationSpec `cbor:"spec"`
	Request string              `cbor:"request"`
	By      string              `cbor:"by"`
	MadeMS  int64               `cbor:"made_ms"`
	Order   uint64              `cbor:"order"`
	State   string              `cbor:"state"`
	StartMS int64               `cbor:"start_ms"`
	Risk    string              `cbor:"risk,omitempty"`
	RiskMS  int64               `cbor:"risk_ms,omitempty"`
	Past    []cborOutcome       `cbor:"past,omitempty"`
}

type cborWindowSpec struct {
	Name     string   `cbor:"name"`
	When     string   `cbor:"when"`
	LengthS  float64  `cbor:"length_s"`
	Machines []string `cbor:"machines,omitempty"`
	Type     string   `cbor:"type,omitempty"`
	Zone     string   `cbor:"zone,omitempty"`
}

type cborWindow struct {
	Spec      cborWindowSpec `cbor:"spec"`
	Request   string         `cbor:"request"`
	By        string         `cbor:"by"`
	MadeMS    int64          `cbor:"made_ms"`
	Cancelled bool           `cbor:"cancelled,omitempty"`
}

type cborConfigurationRequest struct {
	ID       string `cbor:"id"`
	Revision uint64 `cbor:"revision"`
}

type cborConfiguration struct {
	Revision uint64                     `cbor:"revision"`
	Entries  []string                   `cbor:"entries"`
	Requests []cborConfigurationRequest `cbor:"requests"`
}

type cborTeamEntry struct {
	CPUs    float64 `cbor:"cpus"`
	MaxCPUs float64 `cbor:"cpus_max"`
	GPUs    float64 `cbor:"gpus"`
	MaxGPUs float64 `cbor:"gpus_max"`
	Closed  bool    `cbor:"closed,omitempty"`
	Removed bool    `cbor:"removed,omitempty"`
	Lowered uint64  `cbor:"lowered,omitempty"`
}

type cborObjectiveEntry struct {
	Kind    string  `cbor:"kind"`
	WithinS float64 `cbor:"within_s"`
	Share   float64 `cbor:"share"`
	Times   float64 `cbor:"times"`
}

type cborClassEntry struct {
	Objectives []cborObjectiveEntry `cbor:"objectives"`
}

type cborPlaceEntry struct {
	Closed bool `cbor:"closed"`
}

type cborConfigurationEntry struct {
	Revision uint64          `cbor:"revision"`
	Reset    bool            `cbor:"reset,omitempty"`
	Lowered  uint64          `cbor:"lowered,omitempty"`
	Team     *cborTeamEntry  `cbor:"team,omitempty"`
	Class    *cborClassEntry `cbor:"class,omitempty"`
	Place    *cborPlaceEntry `cbor:"place,omitempty"`
	Value    *string         `cbor:"value,omitempty"`
}

type cborEntryChange struct {
	Entry string                 `cbor:"entry"`
	From  cborConfigurationEntry `cbor:"from"`
	To    cborConfigurationEntry `cbor:"to"`
}

type cborConfigurationChange struct {
	Revision uint64            `cbor:"revision"`
	By       string            `cbor:"by"`
	AtMS     int64             `cbor:"at_ms"`
	Changes  []cborEntryChange `cbor:"changes"`
}

type cborJob struct {
	ID          string   `cbor:"id"`
	Class       string   `cbor:"berth"`
	Team        string   `cbor:"crew"`
	Kind        string   `cbor:"rig"`
	Priority    string   `cbor:"tide"`
	Tasks       uint32   `cbor:"hauls"`
	CPUs        float64  `cbor:"cores"`
	GPUs        float64  `cbor:"gpus"`
	MemoryGB    float64  `cbor:"memory_gb"`
	Image       string   `cbor:"hullcast"`
	ImageGB     float64  `cbor:"image_gb"`
	Types       []string `cbor:"hulls"`
	Zone        string   `cbor:"quay"`
	OneZone     bool     `cbor:"together"`
	Spread      bool     `cbor:"scatter"`
	Spot        bool     `cbor:"driftstock"`
	EstimateS   float64  `cbor:"passage_s"`
	CheckpointS float64  `cbor:"logmark_s"`
	SaveS       float64  `cbor:"stow_s"`
	DeadlineS   float64  `cbor:"landfall_s"`
	SubmittedMS int64    `cbor:"submitted_ms,omitempty"`
}

type cborJobStatus struct {
	ID      string  `cbor:"id"`
	State   string  `cbor:"bearing"`
	Done    *uint32 `cbor:"done,omitempty"`
	Running *uint32 `cbor:"running,omitempty"`
}

type cborErrorBody struct {
	Error string `cbor:"error"`
}

type cborTaskReport struct {
	Task    taskText `cbor:"haul"`
	Attempt uint64   `cbor:"launch"`
	State   string   `cbor:"bearing"`
	Cause   string   `cbor:"wreckcause,omitempty"`
	Saved   bool     `cbor:"saved,omitempty"`
}

type cborReport struct {
	Machine string           `cbor:"vessel"`
	Address string           `cbor:"address"`
	Type    string           `cbor:"hull"`
	Zone    string           `cbor:"quay"`
	Spot    bool             `cbor:"driftstock"`
	Session uint64           `cbor:"watch"`
	Seq     uint64           `cbor:"logline"`
	Term    uint64           `cbor:"helm"`
	NoticeS *float64         `cbor:"recall_s"`
	Tasks   []cborTaskReport `cbor:"hauls"`
}

type cborOrder struct {
	Op      string   `cbor:"order"`
	Task    taskText `cbor:"haul"`
	Attempt uint64   `cbor:"launch"`
	GraceS  *float64 `cbor:"slack_s,omitempty"`
}

type cborReportReply struct {
	Term   uint64      `cbor:"helm"`
	Orders []cborOrder `cbor:"orders"`
}

type cborCommands struct {
	Term    uint64      `cbor:"helm"`
	Session uint64      `cbor:"watch"`
	Orders  []cborOrder `cbor:"orders"`
}

type cborRedirect struct {
	ReportTo string `cbor:"harbormaster,omitempty"`
}

type cborTypeInfo struct {
	Name       string   `cbor:"sku"`
	CPUs       float64  `cbor:"cores"`
	GPUs       float64  `cbor:"gpus"`
	MemoryGB   float64  `cbor:"memory_gb"`
	CacheGB    float64  `cbor:"cache_gb"`
	FetchGBPS  float64  `cbor:"pull_gb_per_s"`
	Price      float64  `cbor:"price"`
	SpotPrice  float64  `cbor:"market_price"`
	BootS      float64  `cbor:"ready_s"`
	AllowZones []string `cbor:"quays"`
}

type cborCatalogue struct {
	Types []cborTypeInfo `cbor:"hulls"`
}

type cborRentRequest struct {
	Name  string `cbor:"charter"`
	Type  string `cbor:"hull"`
	Zone  string `cbor:"quay"`
	Spot  bool   `cbor:"driftstock"`
	Count int    `cbor:"number"`
}

type cborMachineNames struct {
	Machines []string `cbor:"fleet"`
}

type cborListedMachine struct {
	ID      string  `cbor:"id"`
	Address string  `cbor:"address"`
	Type    string  `cbor:"hull"`
	Zone    string  `cbor:"quay"`
	Spot    bool    `cbor:"driftstock"`
	State   string  `cbor:"bearing"`
	AgeS    float64 `cbor:"held_s"`
}

type cborMachineList struct {
	Machines []cborListedMachine `cbor:"fleet"`
	More     bool                `cbor:"more"`
}

type cborItem struct {
	Key     string          `cbor:"path"`
	Value   cbor.RawMessage `cbor:"value"`
	Version uint64          `cbor:"entry"`
	Lease   *uint64         `cbor:"mooring,omitempty"`
}

type cborPage struct {
	Items    []cborItem `cbor:"entries"`
	More     bool       `cbor:"more"`
	Revision uint64     `cbor:"ledgerline"`
}

type cborCondition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"entry"`
}

type cborChange struct {
	Put    string  `cbor:"write,omitempty"`
	Value  any     `cbor:"value,omitempty"`
	Lease  *uint64 `cbor:"mooring,omitempty"`
	Delete string  `cbor:"drop,omitempty"`
}

type cborTxn struct {
	If   []cborCondition `cbor:"if"`
	Then []cborChange    `cbor:"then"`
}

type cborTxnReply struct {
	Failed   []string `cbor:"failed"`
	Revision uint64   `cbor:"ledgerline"`
}

type cborLeaseRequest struct {
	TTLMS int64 `cbor:"ttl_ms"`
}

type cborLeaseReply struct {
	Lease uint64 `cbor:"mooring"`
}

type cborEvent struct {
	Put     string          `cbor:"write,omitempty"`
	Delete  string          `cbor:"drop,omitempty"`
	Value   cbor.RawMessage `cbor:"value,omitempty"`
	Version uint64          `cbor:"entry"`
}

type cborEvents struct {
	Revision uint64      `cbor:"ledgerline"`
	Events   []cborEvent `cbor:"news"`
}

type cborConfigChange struct {
	Entry      string                `cbor:"entry"`
	Reset      bool                  `cbor:"reset,omitempty"`
	Remove     bool                  `cbor:"remove,omitempty"`
	CPUs       *float64              `cbor:"cpus,omitempty"`
	MaxCPUs    *float64              `cbor:"cpus_max,omitempty"`
	GPUs       *float64              `cbor:"gpus,omitempty"`
	MaxGPUs    *float64              `cbor:"gpus_max,omitempty"`
	Closed     *bool                 `cbor:"closed,omitempty"`
	Objectives *[]cborObjectiveEntry `cbor:"objectives,omitempty"`
	Value      *string               `cbor:"value,omitempty"`
}

type cborConfigRequest struct {
	Revision *uint64            `cbor:"revision,omitempty"`
	Changes  []cborConfigChange `cbor:"changes,omitempty"`
	Entry    string             `cbor:"entry,omitempty"`
	After    string             `cbor:"after,omitempty"`
}

type cborRequest struct {
	Op          string               `cbor:"op"`
	Window      bool                 `cbor:"window,omitempty"`
	Name        string               `cbor:"name,omitempty"`
	ID          string               `cbor:"id,omitempty"`
	DryRun      bool                 `cbor:"dry_run,omitempty"`
	Replace     bool                 `cbor:"replace,omitempty"`
	Made        int64                `cbor:"made_ms,omitempty"`
	Reservation *cborReservationSpec `cbor:"reservation,omitempty"`
	Spec        *cborWindowSpec      `cbor:"spec,omitempty"`
	Shares      []int                `cbor:"shares,omitempty"`
	Controller  string               `cbor:"controller,omitempty"`
	End         bool                 `cbor:"end,omitempty"`
	Config      *cborConfigRequest   `cbor:"config,omitempty"`
}

type cborShownReservation struct {
	Spec    cborReservationSpec `cbor:"spec"`
	Request string              `cbor:"request"`
	By      string              `cbor:"by"`
	MadeMS  int64               `cbor:"made_ms"`
	Order   uint64              `cbor:"order"`
	State   string              `cbor:"state"`
	StartMS int64               `cbor:"start_ms"`
	Risk    string              `cbor:"risk,omitempty"`
	RiskMS  int64               `cbor:"risk_ms,omitempty"`
	Past    []cborOutcome       `cbor:"past,omitempty"`
	Held    int                 `cbor:"held"`
	On      []string            `cbor:"on,omitempty"`
	Started int                 `cbor:"started"`
}

type cborOverrun struct {
	Machine string  `cbor:"machine"`
	ByS     float64 `cbor:"by_s"`
}

type cborShownWindow struct {
	Spec      cborWindowSpec `cbor:"spec"`
	Request   string         `cbor:"request"`
	By        string         `cbor:"by"`
	MadeMS    int64          `cbor:"made_ms"`
	Cancelled bool           `cbor:"cancelled,omitempty"`
	NextMS    int64          `cbor:"next_ms,omitempty"`
	Open      bool           `cbor:"open"`
	Overruns  []cborOverrun  `cbor:"overruns,omitempty"`
}

type cborController struct {
	Name     string  `cbor:"name"`
	Zone     string  `cbor:"zone,omitempty"`
	Shares   int     `cbor:"shares"`
	Machines int     `cbor:"machines"`
	LateMS   float64 `cbor:"late_ms"`
	Deaf     bool    `cbor:"deaf,omitempty"`
	Away     bool    `cbor:"away,omitempty"`
	Leaving  bool    `cbor:"leaving,omitempty"`
}

type cborShare struct {
	Number   int    `cbor:"number"`
	Zone     string `cbor:"zone"`
	Machines int    `cbor:"machines"`
	Holder   string `cbor:"holder"`
	Since    uint64 `cbor:"since"`
	Epoch    uint64 `cbor:"epoch"`
}

type cborConfigEntry struct {
	Entry      string               `cbor:"entry"`
	Revision   uint64               `cbor:"revision"`
	Team       *cborTeamEntry       `cbor:"team,omitempty"`
	Objectives []cborObjectiveEntry `cbor:"objectives,omitempty"`
	Closed     bool                 `cbor:"closed,omitempty"`
	Value      string               `cbor:"value,omitempty"`
}

type cborConfigController struct {
	Name     string  `cbor:"name"`
	Revision uint64  `cbor:"revision"`
	Member   bool    `cbor:"member"`
	Acting   bool    `cbor:"acting,omitempty"`
	Older    bool    `cbor:"older,omitempty"`
	HeardS   float64 `cbor:"heard_s"`
}

type cborConfigReply struct {
	Revision    uint64                    `cbor:"revision"`
	Entries     []cborConfigEntry         `cbor:"entries,omitempty"`
	Changes     []cborEntryChange         `cbor:"changes,omitempty"`
	History     []cborConfigurationChange `cbor:"history,omitempty"`
	Controllers []cborConfigController    `cbor:"controllers,omitempty"`
	WithinS     float64                   `cbor:"within_s,omitempty"`
}

type cborReply struct {
	Code         string                 `cbor:"code"`
	Reason       string                 `cbor:"reason,omitempty"`
	InTheWay     []string               `cbor:"in_the_way,omitempty"`
	Beside       []string               `cbor:"beside,omitempty"`
	FirstMS      []int64                `cbor:"first_ms,omitempty"`
	Reservations []cborShownReservation `cbor:"reservations,omitempty"`
	Windows      []cborShownWindow      `cbor:"windows,omitempty"`
	More         bool                   `cbor:"more,omitempty"`
	Controllers  []cborController       `cbor:"controllers,omitempty"`
	Shares       []cborShare            `cbor:"shares,omitempty"`
	Config       *cborConfigReply       `cbor:"config,omitempty"`
}

type cborSealed struct {
	Key     string `cbor:"key"`
	AtMS    int64  `cbor:"at_ms"`
	Request string `cbor:"request"`
	Seal    string `cbor:"seal"`
}

// cborSingleView is a view as encoded in the first layout.
type cborSingleView struct {
	Term    uint64            `cbor:"term"`
	Members map[string]uint64 `cbor:"members"`
	Deaf    []string          `cbor:"deaf,omitempty"`
}

// cborView is a view as encoded in later layouts.
type cborView struct {
	Term    uint64            `cbor:"term"`
	Members string            `cbor:"members"`
	Who     map[string]uint64 `cbor:"who,omitempty"`
	Deaf    []string          `cbor:"deaf,omitempty"`
	Layout  int               `cbor:"layout,omitempty"`
}

type cborShares struct {
	Epoch    uint64   `cbor:"epoch"`
	Zones    []string `cbor:"zones"`
	Slots    int      `cbor:"slots"`
	Away     []string `cbor:"away,omitempty"`
	Sessions []uint64 `cbor:"sessions"`
	Holders  []int    `cbor:"holders"`
	Since    []uint64 `cbor:"since"`
	Epochs   []uint64 `cbor:"epochs"`
}
