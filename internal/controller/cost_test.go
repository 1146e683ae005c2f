package controller

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/frontend"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/placement"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
	"damsonkeel/internal/transport"
)

// BenchmarkRelay is a second's regular work, with what it sends to two peers in
// the form of the wire: one task in a hundred has changed.
func BenchmarkRelay(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			f := newBusyFleet(b, s.machines, s.tasks)
			sent := &counter{}
			wire := gob.NewEncoder(sent)
			for range 3 {
				f.hear(s.tasks / 100)
				f.second()
			}
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				f.hear(s.tasks / 100)
				b.StartTimer()
				for _, a := range f.second() {
					if s, ok := a.(message.Send); ok {
						if err := wire.Encode(s.Message); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
			b.ReportMetric(float64(sent.bytes)/float64(b.N), "sent-B/op")
		})
	}
}

// counter counts what is written.
type counter struct{ bytes int }

func (c *counter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// BenchmarkTakeover is the longest steps of view changes at which half of the
// machines go to another controller and come back: those that adopt the view,
// and the ticks after them.
func BenchmarkTakeover(b *testing.B) {
	for _, s := range []struct{ machines, tasks int }{{900, 10000}, {5000, 50000}, {15000, 150000}} {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			f := newBusyFleet(b, s.machines, s.tasks)
			v := f.c.View
			adopts, ticks := time.Duration(0), time.Duration(0)
			timed := func(longest *time.Duration, msg any) {
				at := time.Now()
				actions := f.c.Step(f.now, msg)
				*longest = max(*longest, time.Since(at))
				f.obey(nil, actions)
			}
			for range b.N {
				f.hear(0)
				v.Term++
				if v.Deaf = v.Deaf[:1]; v.Term%2 == 0 {
					v.Deaf = []protocol.NodeName{"node-1", "node-2"}
				}
				raw, err := protocol.Encode(v)
				if err != nil {
					b.Fatal(err)
				}
				f.version++
				timed(&adopts, message.RecordChanged{Event: protocol.Event{Put: record.ViewKey, Value: raw, Version: f.version}})
				for range 40 {
					f.now += Time(tickInterval)
					timed(&ticks, message.Tick{})
				}
			}
			b.ReportMetric(float64(adopts.Milliseconds()), "longest-adopt-ms")
			b.ReportMetric(float64(ticks.Milliseconds()), "longest-tick-ms")
		})
	}
}

// BenchmarkReport is a worker's heartbeat that says nothing new.
func BenchmarkReport(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			w := fleetOf(b, s.machines, s.tasks)
			w.heartbeat("vm-00001", 1, 1)
			for b.Loop() {
				w.heartbeat("vm-00001", 1, 1)
			}
		})
	}
}

// BenchmarkReportOnTheWire is such a heartbeat of a busy machine, from the bytes of
// the request to those of the answer.
func BenchmarkReportOnTheWire(b *testing.B) {
	f := newBusyFleet(b, 900, 10000)
	r := f.says(f.ids[1])
	for b.Loop() {
		r.Seq++
		body, err := protocol.Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(body)))
		p := transport.NewRequestParser()
		p.Feed(transport.AppendRequest(nil, "POST", "10.0.0.1:8080", "/v1/report", body))
		m, err := p.Next()
		if err != nil || m == nil {
			b.Fatal(m, err)
		}
		came, err := protocol.ParseHeartbeat(m.Body)
		if err != nil {
			b.Fatal(err)
		}
		for _, a := range f.c.Step(f.now, message.HeartbeatReceived{Heartbeat: came}) {
			if rr, ok := a.(message.ReplyHeartbeat); ok {
				transport.AppendResponse(nil, frontend.HeartbeatResponse(rr))
			}
		}
	}
}

// BenchmarkPlace is a new job of 300 tasks, placed and cancelled.
func BenchmarkPlace(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", s.machines, s.tasks), func(b *testing.B) {
			w := fleetOf(b, s.machines, s.tasks)
			for b.Loop() {
				w.job("job-new", "free", 300)
				w.c.handleJobEnded("job-new")
				w.step(message.Tick{})
			}
		})
	}
}

// TestPlacingLooksOnce: a job's tasks are placed by looking at each machine
// once and at one more for each task, however many wait already.
func TestPlacingLooksOnce(t *testing.T) {
	w := fleetOf(t, 300, 3000)
	before := w.c.placer.ExaminedMachines
	w.job("job-new", "free", 300)
	if o := w.c.jobs.ByID["job-new"]; len(o.Placed) != 300 {
		t.Fatalf("%d of 300 placed", len(o.Placed))
	}
	if n := w.c.placer.ExaminedMachines - before; n > 600 {
		t.Errorf("%d machines looked at for 300 tasks on 300 machines", n)
	}
}

// TestHugeJobIsPaced: of a job far too large for the fleet, only what runs soon
// is placed; the rest costs a bit each, others go on, and cancelling it is done
// at once.
func TestHugeJobIsPaced(t *testing.T) {
	w := fleetOf(t, 20, 100)
	w.job("job-huge", "free", protocol.MaxTasks)
	for range 50 { // workers that stay silent for longer are given nothing
		w.step(message.Tick{})
	}
	huge := w.c.jobs.ByID["job-huge"]
	most := 20 * 4 * (int(placement.MaxQueueWait.Seconds())/10 + 2) // tasks of 10 s on 4 processors each
	if n := len(huge.Placed); n == 0 || n > most {
		t.Errorf("%d tasks placed, want up to %d", n, most)
	}
	w.c.Live["job-huge"].Deadline += Time(time.Hour) // it can't be done by its time
	w.c.jobs.InvalidateOrder()
	w.put(record.LiveKey("job-urgent"), protocol.Job{
		ID: "job-urgent", Team: "free", Kind: protocol.KindJobArray, Priority: "high", Tasks: 5, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
	})
	w.step(message.Tick{})
	if n := len(w.c.jobs.ByID["job-urgent"].Placed); n != 5 {
		t.Errorf("%d of 5 more urgent tasks placed", n)
	}
	w.c.handleJobEnded("job-huge")
	w.step(message.Tick{})
	queued := 0
	for _, id := range w.c.dispatcher.Machines() {
		for _, a := range w.c.dispatcher.Attempts(id) {
			if a.Task.Job == "job-huge" && !a.Sent {
				queued++
			}
		}
	}
	if queued > 0 {
		t.Errorf("%d tasks still queued after the job was cancelled", queued)
	}
}

// BenchmarkPlan is one plan for so many jobs that wait, on a fleet that is full.
func BenchmarkPlan(b *testing.B) {
	for _, s := range []struct{ machines, tasks int }{{900, 10000}, {15000, 150000}} {
		b.Run(fmt.Sprintf("%d machines, 300 jobs", s.machines), func(b *testing.B) {
			f := newBusyFleet(b, s.machines, s.tasks)
			f.c.autoscaler.ListReceived = true
			f.c.Settings.Site.Objectives = append(f.c.Settings.Site.Objectives, config.Objective{Kind: "wait", Class: "soon", WithinS: 10, Share: 0.9})
			f.c.Configuration.Reset() // read anew
			var demand []message.Demand
			for i := range 300 {
				id := protocol.JobID(fmt.Sprint("job-waits-", i))
				f.c.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: "soon", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, MemoryGB: 1, EstimateS: 10}}
				demand = append(demand, message.Demand{Job: id, Unstarted: 20, EstimateS: 10})
			}
			f.c.waitTable.Peers["node-0"].Demand = demand
			for b.Loop() {
				f.c.Actions = nil
				f.c.autoscaler.PlanScaleOut()
			}
		})
	}
}

// BenchmarkStuck is a second of placing while many gangs find no place.
func BenchmarkStuck(b *testing.B) {
	for _, s := range []struct{ machines, tasks int }{{900, 10000}, {15000, 150000}} {
		b.Run(fmt.Sprintf("%d machines, 60 gangs", s.machines), func(b *testing.B) {
			f := stuckFleet(b, s.machines, s.tasks, 60)
			for b.Loop() {
				for range 10 {
					f.now += Time(placement.Interval)
					f.c.Now, f.c.Actions = f.now, nil
					f.c.placer.PlacePending()
				}
			}
			b.ReportMetric(float64(f.c.placer.ExaminedMachines)/float64(b.N), "looked/op")
		})
	}
}

// TestStuckJobsAreRetriedLess: on a large fleet, gangs that find no place cost
// a bounded number of machines looked at each second, however many they are;
// each is tried again all the same, and placed once there is room.
func TestStuckJobsAreRetriedLess(t *testing.T) {
	const machines, gangs = 3000, 100
	f := stuckFleet(t, machines, 30000, gangs)
	for range 20 {
		f.now += Time(placement.Interval)
		f.c.waitTable.PlacementDue = true
		f.c.Step(f.now, message.Tick{})
	}
	// Two passes for each gang that is tried: one for room, one to claim.
	if most := 2 * 20 * 2 * placement.MaxExaminedForGangs; f.c.placer.ExaminedMachines > most || f.c.placer.ExaminedMachines < gangs*machines {
		t.Errorf("%d machines looked at in 2 s for %d gangs, want %d at the most", f.c.placer.ExaminedMachines, gangs, most)
	}
	for i := range 8 { // machines come
		id := protocol.MachineID(fmt.Sprintf("vm-new-%d", i))
		f.ids = append(f.ids, id)
		f.machine(id, 1)
	}
	f.hear(0)
	for range 20 {
		f.now += Time(placement.Interval)
		f.c.waitTable.PlacementDue = true
		f.c.Step(f.now, message.Tick{})
	}
	placed := 0
	for _, o := range f.c.jobs.ByID {
		if o.Kind == protocol.KindGang && len(o.Placed) > 0 {
			placed++
		}
	}
	if placed != 2 {
		t.Errorf("%d gangs placed, there is room for 2", placed)
	}
}
