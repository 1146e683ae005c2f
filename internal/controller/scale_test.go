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

// BenchmarkRelay measures the periodic work of one second, including the encoding of the
// messages to two peers. One task in a hundred has changed.
func BenchmarkRelay(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", size.machines, size.tasks), func(b *testing.B) {
			fleet := newBusyFleet(b, size.machines, size.tasks)
			sent := &byteCounter{}
			wire := gob.NewEncoder(sent)
			for range 3 {
				fleet.sendHeartbeats(size.tasks / 100)
				fleet.advanceSecond()
			}
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				fleet.sendHeartbeats(size.tasks / 100)
				b.StartTimer()
				for _, a := range fleet.advanceSecond() {
					if send, ok := a.(message.Send); ok {
						if err := wire.Encode(send.Message); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
			b.ReportMetric(float64(sent.bytes)/float64(b.N), "sent-B/op")
		})
	}
}

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// BenchmarkTakeover measures the longest steps of view changes that move half of the machines
// to another controller and back: the steps that adopt the view, and the ticks after them.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ machines, tasks int }{{900, 10000}, {5000, 50000}, {15000, 150000}} {
		b.Run(fmt.Sprintf("%d machines, %d tasks", size.machines, size.tasks), func(b *testing.B) {
			fleet := newBusyFleet(b, size.machines, size.tasks)
			view := fleet.core.View
			longestAdoption, longestTick := time.Duration(0), time.Duration(0)
			measureStep := func(longest *time.Duration, msg any) {
				startedAt := time.Now()
				actions := fleet.core.Step(fleet.now, inCurrentSession(fleet.core, msg))
				*longest = max(*longest, time.Since(startedAt))
				fleet.executeOrders(nil, actions)
			}
			for range b.N {
				fleet.sendHeartbeats(0)
				view.Term++
				if view.Deaf = view.Deaf[:1]; view.Term%2 == 0 {
					view.Deaf = []protocol.NodeName{"node-1", "node-2"}
				}
				raw, err := protocol.Encode(view)
				if err != nil {
					b.Fatal(err)
				}
				fleet.version++
				measureStep(&longestAdoption, message.RecordChanged{Event: protocol.Event{Put: record.ViewKey, Value: raw, Version: fleet.version}})
				for range 40 {
					fleet.now += Time(tickInterval)
					measureStep(&longestTick, message.Tick{})
				}
			}
			b.ReportMetric(float64(longestAdoption.Milliseconds()), "longest-adopt-ms")
			b.ReportMetric(float64(longestTick.Milliseconds()), "longest-tick-ms")
		})
	}
}

// BenchmarkReport measures the handling of a worker's heartbeat without changes.
func BenchmarkReport(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", size.machines, size.tasks), func(b *testing.B) {
			h := newFleet(b, size.machines, size.tasks)
			h.sendHeartbeat("vm-00001", 1, 1)
			for b.Loop() {
				h.sendHeartbeat("vm-00001", 1, 1)
			}
		})
	}
}

// BenchmarkReportOnTheWire measures the handling of a heartbeat without changes of a busy
// machine, including the decoding of the request and the encoding of the answer.
func BenchmarkReportOnTheWire(b *testing.B) {
	fleet := newBusyFleet(b, 900, 10000)
	heartbeat := fleet.nextHeartbeat(fleet.ids[1])
	for b.Loop() {
		heartbeat.Seq++
		body, err := protocol.Encode(heartbeat)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(body)))
		parser := transport.NewRequestParser()
		parser.Feed(transport.AppendRequest(nil, "POST", "10.0.0.1:8080", "/v1/report", body))
		request, err := parser.Next()
		if err != nil || request == nil {
			b.Fatal(request, err)
		}
		received, err := protocol.ParseHeartbeat(request.Body)
		if err != nil {
			b.Fatal(err)
		}
		for _, a := range fleet.core.Step(fleet.now, message.HeartbeatReceived{Heartbeat: received}) {
			if reply, ok := a.(message.ReplyHeartbeat); ok {
				transport.AppendResponse(nil, frontend.HeartbeatResponse(reply))
			}
		}
	}
}

// BenchmarkPlace measures the placement and the cancellation of a new job of 300 tasks.
func BenchmarkPlace(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d machines, %d tasks", size.machines, size.tasks), func(b *testing.B) {
			h := newFleet(b, size.machines, size.tasks)
			for b.Loop() {
				h.acceptJob("job-new", "free", 300)
				h.core.handleJobEnded("job-new")
				h.step(message.Tick{})
			}
		})
	}
}

// TestPlacementExaminesEachMachineOnce: the placement of a job's tasks examines each machine
// once, and one more machine for each task, regardless of the number of tasks that are queued
// already.
func TestPlacementExaminesEachMachineOnce(t *testing.T) {
	h := newFleet(t, 300, 3000)
	before := h.core.placer.ExaminedMachines
	h.acceptJob("job-new", "free", 300)
	if job := h.core.jobs.ByID["job-new"]; len(job.Placed) != 300 {
		t.Fatalf("%d of 300 placed", len(job.Placed))
	}
	if n := h.core.placer.ExaminedMachines - before; n > 600 {
		t.Errorf("%d machines examined for 300 tasks on 300 machines", n)
	}
}

// TestPlacementOfHugeJobIsBounded: of a job that is far too large for the fleet, only the tasks
// that can run soon are placed. Each of the remaining tasks takes a single bit of memory, other
// jobs are still placed, and a cancellation takes effect at once.
func TestPlacementOfHugeJobIsBounded(t *testing.T) {
	h := newFleet(t, 20, 100)
	h.acceptJob("job-huge", "free", protocol.MaxTasks)
	for range 50 { // workers that send no heartbeat for longer get no tasks
		h.step(message.Tick{})
	}
	huge := h.core.jobs.ByID["job-huge"]
	maxPlaced := 20 * 4 * (int(placement.MaxQueueWait.Seconds())/10 + 2) // tasks of 10 s on 4 processors each
	if n := len(huge.Placed); n == 0 || n > maxPlaced {
		t.Errorf("%d tasks placed, want up to %d", n, maxPlaced)
	}
	h.core.Live["job-huge"].Deadline += Time(time.Hour) // the job can't meet its deadline
	h.core.jobs.InvalidateOrder()
	h.putRecord(record.LiveKey("job-urgent"), protocol.Job{
		ID: "job-urgent", Team: "free", Kind: protocol.KindJobArray, Priority: "high", Tasks: 5, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i",
	})
	h.step(message.Tick{})
	if n := len(h.core.jobs.ByID["job-urgent"].Placed); n != 5 {
		t.Errorf("%d of 5 more urgent tasks placed", n)
	}
	h.core.handleJobEnded("job-huge")
	h.step(message.Tick{})
	queued := 0
	for _, id := range h.core.dispatcher.Machines() {
		for _, a := range h.core.dispatcher.Attempts(id) {
			if a.Task.Job == "job-huge" && !a.Sent {
				queued++
			}
		}
	}
	if queued > 0 {
		t.Errorf("%d tasks still queued after the job was cancelled", queued)
	}
}

// BenchmarkPlan measures a scale-out plan for 300 pending jobs on a full fleet.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ machines, tasks int }{{900, 10000}, {15000, 150000}} {
		b.Run(fmt.Sprintf("%d machines, 300 jobs", size.machines), func(b *testing.B) {
			fleet := newBusyFleet(b, size.machines, size.tasks)
			fleet.core.autoscaler.ListReceived = true
			fleet.core.Settings.Site.Objectives = append(fleet.core.Settings.Site.Objectives, config.Objective{Kind: "wait", Class: "soon", WithinS: 10, Share: 0.9})
			fleet.core.Configuration.Reset() // has it use the changed objectives
			var demand []message.Demand
			for i := range 300 {
				id := protocol.JobID(fmt.Sprint("job-waits-", i))
				fleet.core.Live[id] = &clusterstate.LiveJob{Job: protocol.Job{ID: id, Class: "soon", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 20, CPUs: 1, MemoryGB: 1, EstimateS: 10}}
				demand = append(demand, message.Demand{Job: id, Unstarted: 20, EstimateS: 10})
			}
			fleet.core.waitTable.Peers["node-0"].Demand = demand
			for b.Loop() {
				fleet.core.Actions = nil
				fleet.core.autoscaler.PlanScaleOut()
			}
		})
	}
}

// BenchmarkStuck measures the placement work of one second while many gangs can't be placed.
func BenchmarkStuck(b *testing.B) {
	for _, size := range []struct{ machines, tasks int }{{900, 10000}, {15000, 150000}} {
		b.Run(fmt.Sprintf("%d machines, 60 gangs", size.machines), func(b *testing.B) {
			fleet := newFleetWithUnplaceableGangs(b, size.machines, size.tasks, 60)
			for b.Loop() {
				for range 10 {
					fleet.now += Time(placement.Interval)
					fleet.core.Now, fleet.core.Actions = fleet.now, nil
					fleet.core.placer.PlacePending()
				}
			}
			b.ReportMetric(float64(fleet.core.placer.ExaminedMachines)/float64(b.N), "looked/op")
		})
	}
}

// TestUnplaceableGangsExamineBoundedMachines: on a large fleet, the placement of gangs that
// can't be placed examines a bounded number of machines each second, regardless of the number
// of gangs. Each gang is still retried, and placed once there are enough free resources.
func TestUnplaceableGangsExamineBoundedMachines(t *testing.T) {
	const machines, gangs = 3000, 100
	fleet := newFleetWithUnplaceableGangs(t, machines, 30000, gangs)
	for range 20 {
		fleet.now += Time(placement.Interval)
		fleet.core.waitTable.PlacementDue = true
		fleet.core.Step(fleet.now, message.Tick{})
	}
	// Each attempt to place a gang makes two passes: one for free resources, one for claims.
	if maxExamined := 2 * 20 * 2 * placement.MaxExaminedForGangs; fleet.core.placer.ExaminedMachines > maxExamined || fleet.core.placer.ExaminedMachines < gangs*machines {
		t.Errorf("%d machines examined in 2 s for %d gangs, want at most %d", fleet.core.placer.ExaminedMachines, gangs, maxExamined)
	}
	for i := range 8 { // new machines are registered
		id := protocol.MachineID(fmt.Sprintf("vm-new-%d", i))
		fleet.ids = append(fleet.ids, id)
		fleet.registerMachine(id, 1)
	}
	fleet.sendHeartbeats(0)
	for range 20 {
		fleet.now += Time(placement.Interval)
		fleet.core.waitTable.PlacementDue = true
		fleet.core.Step(fleet.now, message.Tick{})
	}
	placed := 0
	for _, job := range fleet.core.jobs.ByID {
		if job.Kind == protocol.KindGang && len(job.Placed) > 0 {
			placed++
		}
	}
	if placed != 2 {
		t.Errorf("%d gangs placed, want 2: the new machines have resources for 2", placed)
	}
}
