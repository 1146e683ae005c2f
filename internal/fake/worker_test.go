package fake

import (
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

const testRunTime = 10 * time.Second

var (
	batchTask   = protocol.TaskID{Job: "batch"}
	gangTask    = protocol.TaskID{Job: "gang", Index: 1}
	serviceTask = protocol.TaskID{Job: "service"}
	largeTask   = protocol.TaskID{Job: "large"}
	unknownTask = protocol.TaskID{Job: "unknown"}
)

// newTestWorker returns a worker with four processors and a lease of one minute.
func newTestWorker() *Worker {
	jobs := map[protocol.JobID]protocol.Job{
		"batch":   {ID: "batch", Kind: protocol.KindJobArray, Tasks: 1, CPUs: 1, CheckpointS: 5, CheckpointDurationS: 3},
		"gang":    {ID: "gang", Kind: protocol.KindGang, Tasks: 2, CPUs: 1},
		"service": {ID: "service", Kind: protocol.KindService, Tasks: 1, CPUs: 1},
		"large":   {ID: "large", Kind: protocol.KindJobArray, Tasks: 1, CPUs: 5},
	}
	w := &Worker{
		ID: "vm-1", Info: protocol.TypeInfo{Name: "m", CPUs: 4}, LeaseS: 60, GangWait: 20 * time.Second,
		JobByID:   func(id protocol.JobID) (protocol.Job, bool) { j, ok := jobs[id]; return j, ok },
		OnStarted: func(*Worker, protocol.TaskID, protocol.Attempt) {},
		OnEnded:   func(*Worker, protocol.TaskID, protocol.EndCause) {},
		RunTime:   func(protocol.TaskID) time.Duration { return testRunTime },
		Results:   map[protocol.TaskID]bool{},
	}
	w.Start(0)
	return w
}

// executeOrder makes the worker execute one order for the first attempt of a task.
func executeOrder(t *testing.T, w *Worker, op protocol.Op, task protocol.TaskID, grace float64) {
	t.Helper()
	commands := protocol.Commands{Term: 1, AgentEpoch: w.Epoch, Orders: []protocol.Order{{Op: op, Task: task, Attempt: 1, GraceS: &grace}}}
	if !w.Execute(commands) {
		t.Fatalf("%s of %s refused", op, task.Job)
	}
}

// TestTaskStates checks the state of a task, its end cause and its
// checkpoint for each kind of job and after each kind of event.
func TestTaskStates(t *testing.T) {
	for _, tc := range []struct {
		name  string
		task  protocol.TaskID
		steps func(*testing.T, *Worker)
		state protocol.TaskState
		cause protocol.EndCause
		saved bool
	}{
		{"fetching", batchTask, func(_ *testing.T, w *Worker) { w.Tick(900 * time.Millisecond) }, protocol.TaskFetching, "", false},
		{"running", batchTask, func(_ *testing.T, w *Worker) { w.Tick(time.Second) }, protocol.TaskRunning, "", false},
		{"done", batchTask, func(_ *testing.T, w *Worker) { w.Tick(time.Second); w.Tick(time.Second + testRunTime) }, protocol.TaskEnded, protocol.EndDone, false},
		{"a service keeps running", serviceTask, func(_ *testing.T, w *Worker) { w.Tick(time.Second); w.Tick(2 * testRunTime) }, protocol.TaskRunning, "", false},
		{"too large", largeTask, func(*testing.T, *Worker) {}, protocol.TaskEnded, protocol.EndFull, false},
		{"unknown job", unknownTask, func(*testing.T, *Worker) {}, protocol.TaskEnded, protocol.EndUnknown, false},
		{"on a faulty machine", batchTask, func(_ *testing.T, w *Worker) { w.Faulty = true; w.Tick(time.Second); w.Tick(2 * time.Second) }, protocol.TaskEnded, protocol.EndError, false},
		{"a gang waits", gangTask, func(_ *testing.T, w *Worker) { w.Tick(time.Second) }, protocol.TaskWaiting, "", false},
		{"a gang remains incomplete", gangTask, func(_ *testing.T, w *Worker) { w.Tick(time.Second); w.Tick(21 * time.Second) }, protocol.TaskEnded, protocol.EndIncomplete, false},
		{"a gang loses a task", gangTask, func(_ *testing.T, w *Worker) {
			w.Tick(time.Second)
			w.StartGangTask(gangTask)
			w.StopGangTask(gangTask)
		}, protocol.TaskEnded, protocol.EndGangLost, false},
		{"stopped without a grace period", batchTask, func(t *testing.T, w *Worker) {
			w.Tick(time.Second)
			executeOrder(t, w, protocol.OpStop, batchTask, 0)
		}, protocol.TaskEnded, protocol.EndStopped, false},
		{"saving a checkpoint", batchTask, func(t *testing.T, w *Worker) {
			w.Tick(time.Second)
			executeOrder(t, w, protocol.OpStop, batchTask, 3)
		}, protocol.TaskSaving, "", false},
		{"stopped with a checkpoint", batchTask, func(t *testing.T, w *Worker) {
			w.Tick(time.Second)
			executeOrder(t, w, protocol.OpStop, batchTask, 3)
			w.Tick(4 * time.Second)
		}, protocol.TaskEnded, protocol.EndStopped, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestWorker()
			executeOrder(t, w, protocol.OpStart, tc.task, 0)
			tc.steps(t, w)
			reported := w.Heartbeat().Tasks
			if len(reported) != 1 {
				t.Fatalf("%d tasks reported, want 1", len(reported))
			}
			if got := reported[0]; got.State != tc.state || got.Cause != tc.cause || got.Checkpointed != tc.saved {
				t.Errorf("%+v, want %s %s, checkpoint %v", got, tc.state, tc.cause, tc.saved)
			}
		})
	}
}

// TestLeaseExpiryLosesTasks checks that a worker whose heartbeats are not answered for
// longer than its lease starts a new agent epoch without tasks, and refuses commands for
// the previous epoch.
func TestLeaseExpiryLosesTasks(t *testing.T) {
	w := newTestWorker()
	executeOrder(t, w, protocol.OpStart, batchTask, 0)
	w.ProcessReply(1, 30*time.Second, protocol.HeartbeatReply{Term: 1})
	if w.Tick(90 * time.Second); w.Epoch != 1 || w.LeaseExpiresAt() != 90*time.Second {
		t.Fatalf("epoch %d, lease until %v", w.Epoch, w.LeaseExpiresAt())
	}
	if w.Tick(91 * time.Second); w.Epoch != 2 || len(w.Tasks()) != 0 {
		t.Errorf("epoch %d with %d tasks after the lease expired", w.Epoch, len(w.Tasks()))
	}
	if w.Execute(protocol.Commands{Term: 1, AgentEpoch: 1}) {
		t.Error("a command for the previous agent epoch was executed")
	}
}
