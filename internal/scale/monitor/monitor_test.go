package monitor

import (
	"testing"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/process"
	"damsonkeel/internal/scale/rules"
	"damsonkeel/internal/scale/siteconfig"
)

// TestRepeatedExchangeTakesEffectOnce: an exchange whose answer was lost is repeated. Its
// events count once, directives are sent until they are executed, and machines are
// terminated for the cloud only then.
func TestRepeatedExchangeTakesEffectOnce(t *testing.T) {
	site, err := siteconfig.LoadSite("../../../deploy/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := New(site, 1)
	m.Provisioned("vm-1", protocol.TypeInfo{Name: "m8"}, protocol.ProvisionRequest{Zone: "r1z1"})
	name := process.SharedWorkers("r1z1")
	exchange := func(number, executed uint64, events ...rules.MachineEvent) []Directive {
		var out Directives
		in := Exchange{Process: name, Number: number, Executed: executed, Machines: events, Addresses: map[protocol.MachineID]server.MachineListing{"vm-1": {Address: "x"}}}
		if err := m.Exchange(in, &out); err != nil {
			t.Fatal(err)
		}
		return out.List
	}
	up := rules.MachineEvent{At: time.Second, Kind: rules.MachineUp, Machine: "vm-1"}
	if first, repeated := exchange(1, 0, up), exchange(1, 0, up); len(first) != 1 || len(repeated) != 1 || repeated[0].Kind != DirectStart {
		t.Fatalf("got %+v, then %+v", first, repeated)
	}
	if len(m.events) != 1 {
		t.Errorf("%d events stored of one that was sent twice", len(m.events))
	}
	if remaining := exchange(2, 1); len(remaining) != 0 {
		t.Errorf("sent again though executed: %+v", remaining)
	}
	terminated := make(chan error, 1)
	go func() { terminated <- m.Terminate([]protocol.MachineID{"vm-1"}) }()
	for number := uint64(3); ; number++ {
		list := exchange(number, 1)
		if len(list) == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		select {
		case err := <-terminated:
			t.Fatalf("terminated before the directive was executed: %v", err)
		default:
		}
		exchange(number+1, list[0].Number)
		break
	}
	if err := <-terminated; err != nil {
		t.Error(err)
	}
	if _, listed := m.Machine("vm-1"); listed {
		t.Error("the machine is still listed")
	}
}
