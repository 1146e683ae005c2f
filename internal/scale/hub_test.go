package scale

import (
	"testing"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"
)

// TestExchangesCountOnce: an exchange whose answer was lost is repeated. What was seen
// counts once, directives are told until they are carried out, and machines are gone
// for the cloud only then.
func TestExchangesCountOnce(t *testing.T) {
	site, err := LoadSite("../../deploy/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	h := newHub(site, 1)
	h.Rented("vm-1", protocol.TypeInfo{Name: "m8"}, protocol.ProvisionRequest{Zone: "r1z1"})
	process := sharedProcess("r1z1")
	exchange := func(number, carried uint64, events ...rules.MachineEvent) []Directive {
		var out Directives
		in := Exchange{Process: process, Number: number, Carried: carried, Machines: events, Addresses: map[protocol.MachineID]server.Listed{"vm-1": {Address: "x"}}}
		if err := h.Exchange(in, &out); err != nil {
			t.Fatal(err)
		}
		return out.List
	}
	up := rules.MachineEvent{At: time.Second, Kind: rules.MachineUp, Machine: "vm-1"}
	if first, again := exchange(1, 0, up), exchange(1, 0, up); len(first) != 1 || len(again) != 1 || again[0].Kind != DirectUp {
		t.Fatalf("told %+v, then %+v", first, again)
	}
	if len(h.events) != 1 {
		t.Errorf("%d events kept of one that was told twice", len(h.events))
	}
	if left := exchange(2, 1); len(left) != 0 {
		t.Errorf("told again though carried out: %+v", left)
	}
	returned := make(chan error, 1)
	go func() { returned <- h.Return([]protocol.MachineID{"vm-1"}) }()
	for number := uint64(3); ; number++ {
		list := exchange(number, 1)
		if len(list) == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		select {
		case err := <-returned:
			t.Fatalf("returned before it was carried out: %v", err)
		default:
		}
		exchange(number+1, list[0].Number)
		break
	}
	if err := <-returned; err != nil {
		t.Error(err)
	}
	if _, there := h.Machine("vm-1"); there {
		t.Error("the machine is still listed")
	}
}
