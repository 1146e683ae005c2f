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

// TestChooseHoldsNeverOvercommits: resources are held only where they will be free,
// never twice, as much as is asked for if there is as much, and they stay where they were.
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
		var dues []Demand
		for i := range rapid.IntRange(1, 3).Draw(t, "dues") {
			r := &record.Reservation{Spec: *spec(fmt.Sprint("r", i), "daily at 04:00", rapid.IntRange(1, 6).Draw(t, "tasks")), Order: uint64(i), StartMS: After(now, time.Duration(rapid.IntRange(1, 90).Draw(t, "in"))*time.Minute)}
			dues = append(dues, Demand{Reservation: r, Remaining: r.Spec.Tasks, ClearBy: After(r.StartMS, -2*time.Minute)})
		}
		usable := func(*Machine, *Demand) bool { return true }
		p := ChooseHolds(dues, machines, nil, usable, now)
		tasks := map[Name]int{}
		for _, h := range p.Holds {
			cpus := 0.0 // of all that are held there when this one is
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
					t.Fatal("held on a spot machine that it does not allow")
				}
			}
		}
		for _, d := range dues {
			if got := tasks[d.Spec.Name]; got < d.Remaining-max(p.Short[d.Spec.Name], p.Missing[d.Spec.Name]) || got > d.Remaining+1+d.Remaining/tasksPerHeadroomEarly {
				t.Fatalf("room for %d of %d tasks, %d short", got, d.Remaining, p.Short[d.Spec.Name])
			}
		}
		if again := ChooseHolds(dues, machines, p.Holds, usable, now); len(p.Short) == 0 && !slices.Equal(again.Holds, p.Holds) {
			t.Fatalf("held elsewhere when nothing changed:\n%v\n%v", p.Holds, again.Holds)
		}
	})
}

// TestHoldsStayWhereTheyWere: a hold is not given up for more of it elsewhere: by the
// time the dispatchers learnt of that, both had been filled by others.
func TestHoldsStayWhereTheyWere(t *testing.T) {
	info := facts(0).Types["m8"]
	r := &record.Reservation{Spec: *spec("one", "daily at 04:00", 4), StartMS: After(noon, 10*time.Second)}
	due := Demand{Reservation: r, Remaining: 4, ClearBy: After(noon, -time.Minute)}
	half := Machine{ID: "vm-half", Info: info, Zone: "a", Runs: []Run{{Ends: noon + 1e7, Need: resource.Amount{CPUs: 4}, Level: 1}}}
	large := info
	large.CPUs = 64
	free := Machine{ID: "vm-free", Info: large, Zone: "a"}
	before := []Hold{{For: "one", Machine: "vm-half", Tasks: 1}, {For: "one", Machine: "vm-free", Tasks: 3}}
	p := ChooseHolds([]Demand{due}, []Machine{half, free}, before, func(*Machine, *Demand) bool { return true }, noon)
	for _, h := range p.Holds {
		if h.Machine == "vm-half" {
			return
		}
	}
	t.Errorf("given up: %+v", p.Holds)
}
