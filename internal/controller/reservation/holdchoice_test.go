package reservation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

// TestChooseHoldsNeverOvercommits checks that no machine has more resources held than it has,
// that no spot machine is held without permission, that each demand gets the resources it
// needs unless some are reported as short or missing, and that holds stay on their machines.
func TestChooseHoldsNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := noon
		var machines []Machine
		for i := range rapid.IntRange(1, 8).Draw(t, "machines") {
			m := Machine{ID: protocol.MachineID(fmt.Sprint("vm-", i)), Info: facts(0).Types["m8"], Zone: "a", Spot: rapid.Bool().Draw(t, "spot")}
			for range rapid.IntRange(0, 3).Draw(t, "runs") {
				m.Runs = append(m.Runs, Run{
					Ends: After(now, time.Duration(rapid.IntRange(0, 60).Draw(t, "ends"))*time.Minute), Need: resource.Amount{CPUs: 2},
					Level: resource.Level(rapid.IntRange(0, 2).Draw(t, "level")),
				})
			}
			machines = append(machines, m)
		}
		var demands []Demand
		for i := range rapid.IntRange(1, 3).Draw(t, "demands") {
			r := &record.Reservation{Spec: *spec(fmt.Sprint("r", i), "daily at 04:00", rapid.IntRange(1, 6).Draw(t, "tasks")), Order: uint64(i), StartMS: After(now, time.Duration(rapid.IntRange(1, 90).Draw(t, "start"))*time.Minute)}
			demands = append(demands, Demand{Reservation: r, Remaining: r.Spec.Tasks, ClearBy: After(r.StartMS, -2*time.Minute)})
		}
		usable := func(*Machine, *Demand) bool { return true }
		p := ChooseHolds(demands, machines, nil, usable, now)
		tasks := map[Name]int{}
		for _, h := range p.Holds {
			cpus := 0.0 // held on the machine when this hold starts
			for _, o := range p.Holds {
				if o.Machine == h.Machine && o.From <= h.From && h.From < o.Until {
					cpus += o.Need.CPUs
				}
			}
			if cpus > 8+resource.Tolerance {
				t.Fatalf("%s holds %v at once", h.Machine, cpus)
			}
			tasks[h.For] += h.Tasks
			for _, m := range machines {
				if m.ID == h.Machine && m.Spot {
					t.Fatal("held on a spot machine, which the reservation does not allow")
				}
			}
		}
		for _, d := range demands {
			if got := tasks[d.Spec.Name]; got < d.Remaining-max(p.Short[d.Spec.Name], p.Missing[d.Spec.Name]) || got > d.Remaining+1+d.Remaining/tasksPerHeadroomEarly {
				t.Fatalf("resources held for %d of %d tasks, %d short", got, d.Remaining, p.Short[d.Spec.Name])
			}
		}
		if again := ChooseHolds(demands, machines, p.Holds, usable, now); len(p.Short) == 0 && !slices.Equal(again.Holds, p.Holds) {
			t.Fatalf("holds differ though nothing changed:\n%v\n%v", p.Holds, again.Holds)
		}
	})
}

// TestExistingHoldIsKeptWhileOtherMachinesHaveCapacity guards against releasing a hold in
// favor of a machine with more capacity: before the dispatchers received the change, other
// tasks had filled the resources on both machines.
func TestExistingHoldIsKeptWhileOtherMachinesHaveCapacity(t *testing.T) {
	info := facts(0).Types["m8"]
	r := &record.Reservation{Spec: *spec("one", "daily at 04:00", 4), StartMS: After(noon, 10*time.Second)}
	demand := Demand{Reservation: r, Remaining: 4, ClearBy: After(noon, -time.Minute)}
	halfFree := Machine{ID: "vm-half", Info: info, Zone: "a", Runs: []Run{{Ends: noon + 1e7, Need: resource.Amount{CPUs: 4}, Level: 1}}}
	large := info
	large.CPUs = 64
	free := Machine{ID: "vm-free", Info: large, Zone: "a"}
	before := []Hold{{For: "one", Machine: "vm-half", Tasks: 1}, {For: "one", Machine: "vm-free", Tasks: 3}}
	p := ChooseHolds([]Demand{demand}, []Machine{halfFree, free}, before, func(*Machine, *Demand) bool { return true }, noon)
	for _, h := range p.Holds {
		if h.Machine == "vm-half" {
			return
		}
	}
	t.Errorf("existing hold was released: %+v", p.Holds)
}
