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

// startWallMS is the time of day at which these tests begin, in Unix milliseconds.
const startWallMS = 1_770_000_000_000

// newReservationHarness returns a harness whose core runs the autoscaler and has received the
// time of day and the cloud's catalogue.
func newReservationHarness(t *testing.T) *harness {
	t.Helper()
	h := newAutoscalerHarness(t)
	h.step(message.CatalogueRead{Types: []protocol.TypeInfo{{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a", "b"}}}})
	h.step(message.Tick{WallMS: startWallMS})
	return h
}

// formatTimeAfter returns the current time plus a duration, in the format of operators'
// requests.
func (h *harness) formatTimeAfter(d time.Duration) string {
	return time.UnixMilli(int64(h.core.WallTime())).Add(d).UTC().Format("2006-01-02 at 15:04:05")
}

// decide has the core decide an operator's request.
func (h *harness) decide(request operatorapi.Request) (operatorapi.Reply, *protocol.Transaction) {
	return h.core.DecideOperatorRequest("ops", &request)
}

// decideAndApply has the core decide a request, and receive the records of the resulting
// transaction.
func (h *harness) decideAndApply(request operatorapi.Request) operatorapi.Reply {
	reply, txn := h.decide(request)
	if txn != nil {
		for _, change := range txn.Changes {
			h.putRecord(change.Put, change.Value)
		}
	}
	return reply
}

// reservationSpec returns a reservation for two tasks of 2 CPUs and 1 GB, for 10 minutes.
func reservationSpec(name, when string) *record.ReservationSpec {
	return &record.ReservationSpec{
		Name: reservation.Name(name), Class: name, When: when, HoldS: 600, LengthS: 600, Tasks: 2, CPUs: 2, MemoryGB: 1, Priority: "standard",
	}
}

// TestRepeatedOperatorRequestChangesNothing: a repeated request gets the same answer and changes
// nothing, and a dry run changes nothing either. The transaction of a decision on an older
// calendar fails in the key-value store. A request that names an earlier reservation does not
// cancel a later one of the same name.
func TestRepeatedOperatorRequestChangesNothing(t *testing.T) {
	h := newReservationHarness(t)
	add := operatorapi.Request{Op: operatorapi.OpAdd, ID: "1", Reservation: reservationSpec("one", h.formatTimeAfter(time.Hour))}
	dry := add
	dry.DryRun = true
	if reply, txn := h.decide(dry); reply.Code != operatorapi.Done || txn != nil || reply.Reservations[0].State != record.Proposed {
		t.Fatalf("dry run: %+v, %v", reply, txn)
	}
	_, stale := h.decide(operatorapi.Request{Op: operatorapi.OpAdd, ID: "2", Reservation: reservationSpec("two", h.formatTimeAfter(time.Hour))})
	if reply := h.decideAndApply(add); reply.Code != operatorapi.Done {
		t.Fatalf("%+v", reply)
	}
	if stale.Conditions[0].Key != record.CalendarKey || stale.Conditions[0].Version == h.core.reservations.Version {
		t.Error("the transaction of the earlier decision is not conditional on an older version of the calendar")
	}
	if reply, txn := h.decide(add); reply.Code != operatorapi.Done || txn != nil || len(reply.Reservations) != 1 {
		t.Errorf("repeated: %+v", reply)
	}
	add.ID = "3"
	if reply, _ := h.decide(add); reply.Code != operatorapi.Refused {
		t.Errorf("a second reservation of the same name is not refused: %+v", reply)
	}
	createdAt := h.core.reservations.Calendar.Reservation("one").Reservation.MadeMS
	if reply := h.decideAndApply(operatorapi.Request{Op: operatorapi.OpCancel, Name: "one", CreatedAt: createdAt - 1}); reply.Code != operatorapi.Refused {
		t.Errorf("the cancellation of an earlier reservation is not refused: %+v", reply)
	}
	for range 2 {
		if reply := h.decideAndApply(operatorapi.Request{Op: operatorapi.OpCancel, Name: "one", CreatedAt: createdAt}); reply.Code != operatorapi.Done {
			t.Errorf("cancel: %+v", reply)
		}
	}
	if h.core.reservations.Calendar.Reservation("one").State != record.Cancelled || len(h.core.reservations.Calendar.Overlapping(0, 1<<41)) != 0 {
		t.Error("the reservation is not cancelled")
	}
}

// TestWindowStopsNewStartsOnly: while a window is open, no attempt starts on the machines that
// it covers, and before that no attempt starts that would overlap it. Running attempts
// continue, and their overrun is reported.
func TestWindowStopsNewStartsOnly(t *testing.T) {
	h := newReservationHarness(t)
	h.bringIntoService("vm-1")
	h.acceptJob("job-1", "free", 1) // its task takes 10 s
	h.decideAndApply(operatorapi.Request{Op: operatorapi.OpAdd, Window: true, ID: "w", Spec: &record.WindowSpec{Name: "w", When: h.formatTimeAfter(20 * time.Second), LengthS: 600, Zone: "a"}})
	task := protocol.TaskID{Job: "job-1"}
	running := h.queuedAttempt(task)
	if running.Attempt == 0 {
		t.Fatal("the task is not placed")
	}
	h.sendHeartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: running.Attempt, State: protocol.TaskRunning})
	h.now += Time(time.Second)
	h.step(message.Tick{})
	h.acceptJob("job-2", "free", 1)
	h.step(message.Tick{})
	if h.queuedAttempt(protocol.TaskID{Job: "job-2"}).Attempt != 0 {
		t.Error("a task is placed that would overlap the window")
	}
	reply, _ := h.decide(operatorapi.Request{Op: operatorapi.OpShow, Window: true, Name: "w"})
	if len(reply.Windows) != 1 || len(reply.Windows[0].Overruns) != 1 || reply.Windows[0].Overruns[0].ByS < 5 {
		t.Errorf("overruns: %+v", reply.Windows)
	}
	h.now += Time(time.Minute)
	h.step(message.Tick{})
	if orders := h.sendHeartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: running.Attempt, State: protocol.TaskRunning}).Reply.Orders; len(orders) != 0 || h.queuedAttempt(task).Kill {
		t.Errorf("orders %+v while the window is open", orders)
	}
	h.now += Time(10 * time.Minute)
	h.sendHeartbeat("vm-1", 1, 1, protocol.TaskStatus{Task: task, Attempt: running.Attempt, State: protocol.TaskRunning})
	h.nextPlan()
	h.step(message.Tick{})
	if h.queuedAttempt(protocol.TaskID{Job: "job-2"}).Attempt == 0 {
		t.Error("the task is not placed after the window")
	}
}
