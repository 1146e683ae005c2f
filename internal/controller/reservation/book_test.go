package reservation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

const noon = Moment(1_770_000_000_000)

func spec(name string, when string, tasks int) *record.ReservationSpec {
	return &record.ReservationSpec{
		Name: Name(name), Class: name, When: when, HoldS: 600, LengthS: 1200, Tasks: tasks, CPUs: 4, MemoryGB: 1, Priority: "standard",
	}
}

func facts(machines int) *Facts {
	f := &Facts{
		Types: map[protocol.MachineType]protocol.TypeInfo{"m8": {Name: "m8", CPUs: 8, MemoryGB: 32, BootS: 40, AllowZones: []protocol.Zone{"a", "b"}}},
		Team: func(t protocol.Team) (config.Team, bool) {
			return config.Team{Name: "small", MaxCPUs: 20}, t == "small"
		},
		Machine: func(protocol.MachineID) (protocol.MachineType, protocol.Zone, bool) { return "m8", "a", true },
	}
	if machines > 0 {
		f.Most = map[protocol.MachineType]int{"m8": machines}
	}
	return f
}

// accept decides on a reservation and puts it into the book if it can be kept.
func accept(b *Calendar, s *record.ReservationSpec, f *Facts, order uint64) Answer {
	a := b.DecideReservation(s, f, noon)
	if a.OK {
		_ = b.PutReservation(record.Reservation{Spec: *s, State: record.Accepted, StartMS: a.First[0], Order: order}, 1, noon)
	}
	return a
}

// TestOverlapping: of two reservations that overlap on one machine either both
// fit and both are told so, or the later one is refused by the name of the first.
func TestOverlapping(t *testing.T) {
	for _, tc := range []struct {
		machines, first, second int
		at                      string
		ok, beside              bool
	}{
		{1, 1, 1, "04:10", true, true},
		{1, 1, 2, "04:10", false, false},
		{1, 2, 2, "05:10", true, false}, // the first is over by then
		{0, 2, 2, "04:10", true, true},  // as many machines as are asked for
	} {
		b := NewCalendar()
		if a := accept(b, spec("one", "daily at 04:00", tc.first), facts(tc.machines), 1); !a.OK {
			t.Fatal(a.Reason)
		}
		b.Extend(noon)
		a := accept(b, spec("two", "weekly on wed at "+tc.at, tc.second), facts(tc.machines), 2)
		if a.OK != tc.ok || slices.Contains(a.Beside, "one") != tc.beside || !tc.ok && !slices.Contains(a.InTheWay, "one") {
			t.Errorf("%+v: %+v", tc, a)
		}
	}
}

// TestRefused: what can't be kept is refused by the name of what is in the way.
func TestRefused(t *testing.T) {
	b := NewCalendar()
	_ = b.PutWindow(record.Window{Spec: record.WindowSpec{Name: "all", When: "daily at 03:50", LengthS: 1200}}, 1, noon)
	_ = b.PutWindow(record.Window{Spec: record.WindowSpec{Name: "zone-a", When: "daily at 12:00", LengthS: 600, Zone: "a"}}, 1, noon)
	if a := b.DecideReservation(spec("one", "daily at 04:00", 1), facts(9), noon); a.OK || !slices.Contains(a.InTheWay, "all") {
		t.Errorf("beside a window of the whole site: %+v", a)
	}
	if a := b.DecideReservation(spec("one", "daily at 12:05", 1), facts(9), noon); !a.OK {
		t.Errorf("beside a window of the other zone: %+v", a)
	}
	in := spec("one", "daily at 12:05", 1)
	if in.Zone = "a"; b.DecideReservation(in, facts(9), noon).OK {
		t.Error("in a zone under maintenance")
	}
	// Of four machines each zone has two: a zone that is closed takes them with
	// it, and what needs one zone finds no more in any.
	if a := b.DecideReservation(spec("one", "daily at 12:05", 5), facts(4), noon); a.OK || !slices.Contains(a.InTheWay, "zone-a") {
		t.Errorf("more than the zone that is left has: %+v", a)
	}
	whole := spec("one", "daily at 06:00", 5)
	if a := b.DecideReservation(whole, facts(4), noon); !a.OK {
		t.Errorf("in both zones: %+v", a)
	}
	if whole.OneZone = true; b.DecideReservation(whole, facts(4), noon).OK {
		t.Error("in one zone, which has not as many")
	}
	large := spec("one", "daily at 06:00", 1)
	if large.CPUs = 9; b.DecideReservation(large, facts(0), noon).OK {
		t.Error("larger than any machine")
	}
	team := spec("one", "daily at 06:00", 3)
	team.Team = "small"
	if a := accept(b, team, facts(0), 3); !a.OK {
		t.Errorf("within its team's limit: %+v", a)
	}
	more := spec("more", "daily at 06:20", 3)
	more.Team = "small"
	if a := b.DecideReservation(more, facts(0), noon); a.OK || !slices.Contains(a.InTheWay, "one") {
		t.Errorf("over its team's limit: %+v", a)
	}
	if a := b.DecideWindow(&record.WindowSpec{Name: "new", When: "daily at 06:00", LengthS: 60}, facts(0), noon); a.OK || !slices.Contains(a.InTheWay, "one") {
		t.Errorf("a window over what is promised: %+v", a)
	}
	if a := b.DecideWindow(&record.WindowSpec{Name: "new", When: "daily at 06:00", LengthS: 60, Zone: "b"}, facts(0), noon); !a.OK {
		t.Errorf("a window that leaves room: %+v", a)
	}
}

// TestOverlappingIsExact: what the book finds is what overlaps, by going through
// all of it, while entries come, change and go.
func TestOverlappingIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewCalendar()
		all := map[Name]Occurrence{}
		for i := range rapid.IntRange(1, 40).Draw(t, "entries") {
			n := Name(fmt.Sprint("r", rapid.IntRange(0, 15).Draw(t, "name")))
			if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
				b.Drop(false, n)
				delete(all, n)
				continue
			}
			start := After(noon, time.Duration(rapid.IntRange(0, 5000).Draw(t, "start"))*time.Minute)
			start -= start % 60_000
			s := spec(string(n), time.UnixMilli(int64(start)).UTC().Format("2006-01-02 at 15:04"), 1)
			s.HoldS, s.LengthS = 60, float64(rapid.IntRange(60, 100_000).Draw(t, "length"))
			if err := b.PutReservation(record.Reservation{Spec: *s, State: record.Accepted, StartMS: start, Order: uint64(i + 1)}, 1, noon); err != nil {
				t.Fatal(err)
			}
			all[n] = Occurrence{Name: n, Start: start, End: After(start, Busy(s))}
		}
		from := After(noon, time.Duration(rapid.IntRange(-100, 6000).Draw(t, "from"))*time.Minute)
		to := After(from, time.Duration(rapid.IntRange(1, 600).Draw(t, "to"))*time.Minute)
		want := map[Name]bool{}
		for n, o := range all {
			if o.Start < to && o.End > from {
				want[n] = true
			}
		}
		got := b.Overlapping(from, to)
		for _, o := range got {
			if !want[o.Name] || all[o.Name] != o {
				t.Fatalf("%+v does not overlap", o)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%d found, %d overlap", len(got), len(want))
		}
	})
}

// TestCancelledStaysAway: what was taken back is not listed again as time goes on.
// A recurring reservation was, a day later, from 1970 on, and was in the way of
// all that was asked for then.
func TestCancelledStaysAway(t *testing.T) {
	b := NewCalendar()
	r := record.Reservation{Spec: *spec("one", "daily at 04:00", 1), State: record.Cancelled, Order: 1}
	w := record.Window{Spec: record.WindowSpec{Name: "w", When: "daily at 04:00", LengthS: 60}, Cancelled: true}
	if b.PutReservation(r, 1, noon) != nil || b.PutWindow(w, 1, noon) != nil {
		t.Fatal("not taken")
	}
	for day := range 3 {
		for range 3 {
			b.Extend(After(noon, time.Duration(day)*25*time.Hour))
		}
	}
	if b.size != 0 {
		t.Errorf("%d times listed", b.size)
	}
}

// TestThousandInAYear: asking what overlaps costs by what does: a thousand
// recurring reservations of a year's calendar are listed in pieces, and what is
// candidatesExamined at is what overlaps.
func TestThousandInAYear(t *testing.T) {
	b := NewCalendar()
	for i := range 1000 {
		s := spec(fmt.Sprintf("r%04d", i), fmt.Sprintf("daily at %02d:%02d", i%24, i/24%60), 1)
		s.HoldS, s.LengthS = 60, 60
		if err := b.PutReservation(record.Reservation{Spec: *s, State: record.Accepted, Order: uint64(i)}, 1, noon); err != nil {
			t.Fatal(err)
		}
	}
	steps := 0
	for ; !b.Complete(); steps++ {
		b.Extend(noon)
	}
	if steps < 1000/extendMost/2 || b.size < 360_000 {
		t.Fatalf("%d times listed in %d steps", b.size, steps)
	}
	midnight := at("2026-06-01T00:00:00Z")
	if n := len(b.Overlapping(midnight, After(midnight, time.Minute))); n == 0 || n > 5 {
		t.Errorf("%d overlap one minute", n)
	}
	if a := b.DecideReservation(spec("one", "daily at 04:30", 2), facts(0), noon); !a.OK || len(a.Beside) == 0 {
		t.Errorf("%+v", a)
	}
}

// TestAdvance: a reservation goes through its states, late too, and a recurring
// one on to its next time that can still be met.
func TestAdvance(t *testing.T) {
	w, _ := ParseWhen("daily at 04:00")
	start := w.Occurrences(noon, After(noon, Ahead))[0]
	r := record.Reservation{Spec: *spec("one", "daily at 04:00", 4), State: record.Accepted, StartMS: start}
	step := func(r record.Reservation, now Moment, came bool, started int, risk string) record.Reservation {
		r, _ = Advance(r, w, Observation{Now: now, ClockError: time.Second, Lead: 5 * time.Minute, Came: came, Wanted: 4, Started: started, Risk: risk})
		return r
	}
	if got := step(r, After(start, -6*time.Minute), false, 0, ""); got.State != record.Accepted {
		t.Errorf("long before: %s", got.State)
	}
	held := step(r, After(start, -4*time.Minute), false, 0, "no room")
	if held.State != record.Holding || held.Risk == "" || held.RiskMS != After(start, -4*time.Minute) {
		t.Errorf("near: %+v", held)
	}
	if still := step(held, After(start, -time.Minute), false, 0, "less room"); still.RiskMS != held.RiskMS || still.Risk != "less room" {
		t.Errorf("at risk since %d, want %d", still.RiskMS, held.RiskMS)
	}
	if got := step(held, After(start, 9*time.Minute), true, 3, ""); got.State != record.Holding || got.Risk != "" {
		t.Errorf("started in part: %+v", got)
	}
	for _, tc := range []struct {
		now   time.Duration
		came  bool
		state record.ReservationState
		next  time.Duration
	}{{time.Second, true, record.Used, 24 * time.Hour}, {11 * time.Minute, false, record.Expired, 24 * time.Hour}, {50 * time.Hour, false, record.Expired, 72 * time.Hour}} {
		got := step(held, After(start, tc.now), tc.came, 4, "")
		if got.State != record.Accepted || got.StartMS != After(start, tc.next) || len(got.Past) != 1 || got.Past[0].State != tc.state {
			t.Errorf("%v after: %+v", tc.now, got)
		}
	}
	if _, changed := Advance(record.Reservation{State: record.Cancelled, Spec: r.Spec, StartMS: start}, w, Observation{Now: start}); changed {
		t.Error("cancelled goes on")
	}
}

// TestChoose: room is held only where it will be free, never twice, as much as is
// asked for if there is as much, and stays where it was.
func TestChoose(t *testing.T) {
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
			dues = append(dues, Demand{Reservation: r, Left: r.Spec.Tasks, Clear: After(r.StartMS, -2*time.Minute)})
		}
		usable := func(*Machine, *Demand) bool { return true }
		p := ChooseHolds(dues, machines, nil, usable, now)
		tasks := map[Name]int{}
		for _, h := range p.Holds {
			cpus := 0.0 // reservation all that are held there when this one is
			for _, o := range p.Holds {
				if o.Machine == h.Machine && o.From <= h.From && h.From < o.Until {
					cpus += o.Need.CPUs
				}
			}
			if cpus > 8+resource.Slack {
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
			if got := tasks[d.Spec.Name]; got < d.Left-max(p.Short[d.Spec.Name], p.Missing[d.Spec.Name]) || got > d.Left+1+d.Left/spareShare {
				t.Fatalf("room for %d of %d tasks, %d short", got, d.Left, p.Short[d.Spec.Name])
			}
		}
		if again := ChooseHolds(dues, machines, p.Holds, usable, now); len(p.Short) == 0 && !slices.Equal(again.Holds, p.Holds) {
			t.Fatalf("held elsewhere when nothing changed:\n%v\n%v", p.Holds, again.Holds)
		}
	})
}

// TestLeaves: what holds leave to others.
func TestLeaves(t *testing.T) {
	h := []Hold{{For: "one", Need: resource.Amount{CPUs: 4}, Level: 1, Clear: 1000_000, From: 1200_000, Until: 3000_000}}
	task := func(of bool, cpus float64, l resource.Level, saves bool, ends Moment) *Task {
		return &Task{Of: func(Name) bool { return of }, Need: resource.Amount{CPUs: cpus}, Level: l, Saves: saves, Ends: ends}
	}
	for i, tc := range []struct {
		t    *Task
		now  Moment
		want bool
	}{
		{task(false, 2, 1, false, 999_000), 0, true},          // over in time
		{task(false, 2, 1, false, 1001_000), 0, false},        // not
		{task(false, 1, 1, false, 9e9), 0, true},              // beside it
		{task(false, 2, 0, true, 9e9), 0, true},               // stopped in time
		{task(false, 2, 0, false, 9e9), 0, false},             // would lose its work
		{task(false, 2, 0, true, 9e9), 1190_000, false},       // too late to be stopped
		{task(false, 2, 1, true, 9e9), 0, false},              // refuse less urgent
		{task(true, 2, 0, false, 9e9), 1200_000, true},        // it is what it is held for
		{task(false, 2, 1, false, 1150_000), 1100_000, false}, // has to be clear now
		{task(false, 2, 1, false, 9e9), 3000_000, true},       // over
	} {
		if got := LeavesRoom(h, tc.t, resource.Amount{CPUs: 5}, tc.now); got != tc.want {
			t.Errorf("case %d: %v", i, got)
		}
	}
}

// TestPromisedBesideLater: room that is held for a job is its own for as long as
// it was promised, though something else is held there for later and estimates of
// its kind are often wrong. With its machines empty it waited for hours.
func TestPromisedBesideLater(t *testing.T) {
	mine := Hold{For: "one", Need: resource.Amount{CPUs: 8}, From: 1000_000, Clear: 900_000, Until: 2000_000}
	later := Hold{For: "two", Need: resource.Amount{CPUs: 8}, From: 2000_000, Clear: 1700_000, Until: 4000_000}
	task := &Task{Of: func(n Name) bool { return n == "one" }, Need: resource.Amount{CPUs: 8}, Ends: 9000_000}
	if !LeavesRoom([]Hold{mine, later}, task, resource.Amount{CPUs: 8}, 1000_000) {
		t.Error("kept out by what was promised beside it")
	}
	later.From = 1500_000
	if LeavesRoom([]Hold{mine, later}, task, resource.Amount{CPUs: 8}, 1000_000) {
		t.Error("starts where something else is held meanwhile")
	}
}

// TestHeldStaysHeld: what is held is not given up for more of it elsewhere: by
// the time the keepers heard of that, both had been filled by others.
func TestHeldStaysHeld(t *testing.T) {
	info := facts(0).Types["m8"]
	r := &record.Reservation{Spec: *spec("one", "daily at 04:00", 4), StartMS: After(noon, 10*time.Second)}
	due := Demand{Reservation: r, Left: 4, Clear: After(noon, -time.Minute)}
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
	t.Errorf("let go: %+v", p.Holds)
}
