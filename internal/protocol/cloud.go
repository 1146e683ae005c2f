package protocol

// TypeInfo is one machine type of the catalogue.
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

// Catalogue lists the machine types.
type Catalogue struct {
	Types []TypeInfo `cbor:"hulls"`
}

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	Name  string      `cbor:"charter"`
	Type  MachineType `cbor:"hull"`
	Zone  Zone        `cbor:"quay"`
	Spot  bool        `cbor:"driftstock"`
	Count int         `cbor:"number"`
}

// MachineNames names machines: those rented, or those to return.
type MachineNames struct {
	Machines []MachineID `cbor:"fleet"`
}

// ListedMachine is one line of the cloud's machine list.
type ListedMachine struct {
	ID      MachineID   `cbor:"id"`
	Address string      `cbor:"address"`
	Type    MachineType `cbor:"hull"`
	Zone    Zone        `cbor:"quay"`
	Spot    bool        `cbor:"driftstock"`
	State   string      `cbor:"bearing"`
	AgeS    float64     `cbor:"held_s"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `cbor:"fleet"`
	More     bool            `cbor:"more"`
}
