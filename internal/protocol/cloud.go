package protocol

// TypeInfo describes a machine type of the cloud: its size, prices, boot time and the rate at
// which it fetches container images. Prices are per hour; a machine is charged by the second
// from its request until it is gone, boot time included. AllowZones lists the zones in which
// the cloud has the type.
type TypeInfo struct {
	Name       MachineType `cbor:"sku"`
	CPUs       float64     `cbor:"cores"`
	GPUs       float64     `cbor:"gpus"`
	MemoryGB   float64     `cbor:"memory_gb"`
	CacheGB    float64     `cbor:"cache_gb"`
	FetchGBPS  float64     `cbor:"pull_gb_per_s"`
	Price      float64     `cbor:"price"`
	SpotPrice  float64     `cbor:"market_price"`
	BootS      float64     `cbor:"ready_s"`
	AllowZones []Zone      `cbor:"quays"`
}

// Catalogue lists all machine types of the cloud.
type Catalogue struct {
	Types []TypeInfo `cbor:"hulls"`
}

// ProvisionRequest requests Count new machines of one type in one zone, spot or on-demand.
// Name is the idempotency key of the request: a repetition provisions no further machines.
type ProvisionRequest struct {
	Name  string      `cbor:"charter"`
	Type  MachineType `cbor:"hull"`
	Zone  Zone        `cbor:"quay"`
	Spot  bool        `cbor:"driftstock"`
	Count int         `cbor:"number"`
}

// MachineNames lists machine ids: the provisioned machines in the response to a
// ProvisionRequest, or the machines of a request to terminate machines.
type MachineNames struct {
	Machines []MachineID `cbor:"fleet"`
}

// ListedMachine is one machine in the cloud's list of machines. State is booting, running or
// failed. AgeS is the time in seconds since the machine was requested, as of the moment that
// the list describes.
type ListedMachine struct {
	ID      MachineID   `cbor:"id"`
	Address string      `cbor:"address"`
	Type    MachineType `cbor:"hull"`
	Zone    Zone        `cbor:"quay"`
	Spot    bool        `cbor:"driftstock"`
	State   string      `cbor:"bearing"`
	AgeS    float64     `cbor:"held_s"`
}

// MachineList is a page of the cloud's list of machines. More reports whether another
// page follows.
type MachineList struct {
	Machines []ListedMachine `cbor:"fleet"`
	More     bool            `cbor:"more"`
}
