package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/reservation"
	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// startWallMS is the time of day when these tests begin, in milliseconds.
const startWallMS = 1_770_000_000_000

// newReservationBench returns a bench whose core is the autoscaler, knows the time of day
// and has the cloud's catalogue.
func newReservationBench(t *testing.T) *bench {
	t.Helper()
	b := newAutoscalerBench(t)
	b.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}}})
	b.step(message.Tick{WallMS: startWallMS})
	return b
}

// in is the time so much later, in the form of operators' requests.
func (b *bench) in(d time.Duration) string {
	return time.UnixMilli(int64(b.c.WallTime())).Add(d).UTC().Format("2006-01-02 at 15:04:05")
}

// operate has the core decide an operator's request.
func (b *bench) operate(r operatorapi.Request) (operatorapi.Reply, *protocol.Transaction) {
	return b.c.Decide("ops", &r)
}

// do has the core decide a request, and follow the transaction that it asks for.
func (b *bench) do(r operatorapi.Request) operatorapi.Reply {
	reply, txn := b.operate(r)
	if txn != nil {
		for _, ch := range txn.Changes {
			b.put(ch.Put, ch.Value)
		}
	}
	return reply
}

// reserve is a reservation for two tasks of 2 CPUs and 1 GB, for 10 minutes.
func reserve(name, when string) *record.ReservationSpec {
	return &record.ReservationSpec{
		Name: reservation.Name(name), Class: name, When: when, HoldS: 600, LengthS: 600, Tasks: 2, CPUs: 2, MemoryGB: 1, Priority: "standard",
	}
}

// TestRepeatedOperatorRequestChangesNothing: a repeated request gets the same answer and
// changes nothing, nor does a dry run; the transaction of a decision on an older calendar
// fails in the key-value store, and a reservation that was made anew is not cancelled by
// a request that names the one before.
func TestRepeatedOperatorRequestChangesNothing(t *testing.T) {
	b := newReservationBench(t)
	add := operatorapi.Request{Op: operatorapi.OpAdd, ID: "1", Reservation: reserve("one", b.in(time.Hour))}
	dry := add
	dry.DryRun = true
	if reply, txn := b.operate(dry); reply.Code != operatorapi.Done || txn != nil || reply.Reservations[0].State != record.Proposed {
		t.Fatalf("dry run: %+v, %v", reply, txn)
	}
	_, stale := b.operate(operatorapi.Request{Op: operatorapi.OpAdd, ID: "2", Reservation: reserve("two", b.in(time.Hour))})
	if reply := b.do(add); reply.Code != operatorapi.Done {
		t.Fatalf("%+v", reply)
	}
	if stale.Conditions[0].Key != record.CalendarKey || stale.Conditions[0].Version == b.c.reservations.Version {
		t.Error("decided before the first was accepted, and not conditional on that")
	}
	if reply, txn := b.operate(add); reply.Code != operatorapi.Done || txn != nil || len(reply.Reservations) != 1 {
		t.Errorf("repeated: %+v", reply)
	}
	add.ID = "3"
	if reply, _ := b.operate(add); reply.Code != operatorapi.Refused {
		t.Errorf("its name is taken: %+v", reply)
	}
	made := b.c.reservations.Calendar.Reservation("one").Reservation.MadeMS
	if reply := b.do(operatorapi.Request{Op: operatorapi.OpCancel, Name: "one", CreatedAt: made - 1}); reply.Code != operatorapi.Refused {
		t.Errorf("another one is cancelled: %+v", reply)
	}
	for range 2 {
		if reply := b.do(operatorapi.Request{Op: operatorapi.OpCancel, Name: "one", CreatedAt: made}); reply.Code != operatorapi.Done {
			t.Errorf("cancel: %+v", reply)
		}
	}
	if b.c.reservations.Calendar.Reservation("one").State != record.Cancelled || len(b.c.reservations.Calendar.Overlapping(0, 1<<41)) != 0 {
		t.Error("not cancelled")
	}
}

// TestWindowStopsNewStartsOnly: while a window is open no attempt starts on the machines
// that it covers, nor one that would run into it; running attempts go on, and their
// overrun is reported.
func TestWindowStopsNewStartsOnly(t *testing.T) {
	b := newReservationBench(t)
	b.ready("vm-1")
	b.job("job-1", "free", 1) // of 10 s
	b.do(operatorapi.Request{Op: operatorapi.OpAdd, Window: true, ID: "w", Spec: &record.WindowSpec{Name: "w", When: b.in(20 * time.Second), LengthS: 600, Zone: "a"}})
	task := protocol.TaskID{Job: "job-1"}
	e := b.attempt(task)
	if e.Attempt == 0 {
		t.Fatal("not placed")
	}
	b.heartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: e.Attempt, State: protocol.TaskRunning})
	b.now += Time(time.Second)
	b.step(message.Tick{})
	b.job("job-2", "free", 1)
	b.step(message.Tick{})
	if b.attempt(protocol.TaskID{Job: "job-2"}).Attempt != 0 {
		t.Error("placed where it would run into the window")
	}
	reply, _ := b.operate(operatorapi.Request{Op: operatorapi.OpShow, Window: true, Name: "w"})
	if len(reply.Windows) != 1 || len(reply.Windows[0].Overruns) != 1 || reply.Windows[0].Overruns[0].ByS < 5 {
		t.Errorf("overruns: %+v", reply.Windows)
	}
	b.now += Time(time.Minute)
	b.step(message.Tick{})
	if os := b.heartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: e.Attempt, State: protocol.TaskRunning}).Reply.Orders; len(os) != 0 || b.attempt(task).Kill {
		t.Errorf("orders %+v while the window is open", os)
	}
	b.now += Time(10 * time.Minute)
	b.heartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: e.Attempt, State: protocol.TaskRunning})
	b.nextPlan()
	b.step(message.Tick{})
	if b.attempt(protocol.TaskID{Job: "job-2"}).Attempt == 0 {
		t.Error("not placed after the window")
	}
}
