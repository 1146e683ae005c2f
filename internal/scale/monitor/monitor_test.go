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

// TestRepeatedExchangeTakesEffectOnce checks the exchange protocol when a reply is lost and the
// exchange is repeated: its events are stored once, a directive is sent until it is executed,
// and Terminate returns only after the worker process has executed its directive.
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
		t.Fatalf("got directives %+v, then %+v; want the same DirectStart twice", first, repeated)
	}
	if len(m.machineEvents) != 1 {
		t.Errorf("%d events stored for one event that was sent twice, want 1", len(m.machineEvents))
	}
	if remaining := exchange(2, 1); len(remaining) != 0 {
		t.Errorf("directives sent again after they were executed: %+v", remaining)
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
			t.Fatalf("Terminate returned before the directive was executed: %v", err)
		default:
		}
		exchange(number+1, list[0].Number)
		break
	}
	if err := <-terminated; err != nil {
		t.Error(err)
	}
	if _, listed := m.Machine("vm-1"); listed {
		t.Error("the terminated machine is still listed")
	}
}
