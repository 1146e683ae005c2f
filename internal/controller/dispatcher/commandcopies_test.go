package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// taskRunTime is how long a task runs on the machine under test.
const taskRunTime = time.Second

// workerFixture is a fixture whose machine under test has a model of its worker, to which
// replies and direct commands are delivered. All shards are held here.
type workerFixture struct {
	*fixture
	worker *fake.Worker
	task   protocol.TaskID
}

func newWorkerFixture(t *testing.T) *workerFixture {
	f := &workerFixture{fixture: newFixture(t), task: protocol.TaskID{Job: "job-1"}}
	f.holdAllShards()
	f.worker = &fake.Worker{
		ID: testMachine, Info: f.dispatcher.Types["small"], Zone: "a", LeaseS: 1000, CachesImages: true,
		JobByID: func(id protocol.JobID) (protocol.Job, bool) {
			return protocol.Job{ID: id, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i"}, true
		},
		RunTime:   func(protocol.TaskID) time.Duration { return taskRunTime },
		OnStarted: func(*fake.Worker, protocol.TaskID, protocol.Attempt) {},
		OnEnded:   func(*fake.Worker, protocol.TaskID, protocol.EndCause) {},
		Results:   map[protocol.TaskID]bool{},
	}
	f.worker.Start(0)
	f.registerMachine()
	f.exchangeHeartbeat()
	f.exchangeHeartbeat() // shows that the worker has seen a token of this shard epoch
	return f
}

// startDirectly places the task on the machine under test and returns the direct commands that
// start it.
func (f *workerFixture) startDirectly() message.Command {
	f.t.Helper()
	f.addJob(f.task.Job)
	placement := message.Placement{Task: f.task, Attempt: 1, Machine: testMachine, Epoch: 7, CPUs: 1, GB: 1}
	placement.Tenure = f.dispatcher.ShardEpoch(testMachine, "a")
	f.dispatcher.QueuePlacements("node-0", &message.Place{Term: 1, Tasks: []message.Placement{placement}})
	start := f.sendDirectCommands()
	if countStarts(start.Commands.Orders) != 1 {
		f.t.Fatalf("the attempt was not started directly: %+v", start)
	}
	return start
}

// exchangeHeartbeat delivers the worker's next heartbeat to the dispatcher and the reply to the
// worker.
func (f *workerFixture) exchangeHeartbeat() {
	f.worker.ProcessReply(f.worker.Epoch, f.worker.LastTick(), f.deliverHeartbeat())
}

// deliverHeartbeat delivers the worker's next heartbeat to the dispatcher and returns the reply,
// which does not reach the worker.
func (f *workerFixture) deliverHeartbeat() protocol.HeartbeatReply {
	f.t.Helper()
	reply, accepted := f.offerHeartbeat()
	if !accepted {
		f.t.Fatal("the heartbeat was not answered")
	}
	return reply
}

// offerHeartbeat delivers the worker's next heartbeat to the dispatcher, and returns the reply
// and whether it renews the worker's lease.
func (f *workerFixture) offerHeartbeat() (reply protocol.HeartbeatReply, accepted bool) {
	heartbeat := f.worker.Heartbeat()
	heartbeat.Address, heartbeat.Type = "x", "small"
	f.dispatcher.Actions = nil
	f.dispatcher.HandleHeartbeat(heartbeat)
	for _, a := range f.dispatcher.Actions {
		if r, ok := a.(message.ReplyHeartbeat); ok && r.Status == 200 {
			return r.Reply, true
		}
	}
	return protocol.HeartbeatReply{}, false
}

// exchangeCommand delivers direct commands to the worker and the answer to the dispatcher.
func (f *workerFixture) exchangeCommand(c message.Command) {
	result := c.Done()
	result.Executed, result.Answered = f.worker.Execute(c.Commands), true
	result.Heartbeat = f.worker.Heartbeat()
	result.Heartbeat.Type = "small"
	f.dispatcher.HandleCommandDone(result)
}

// runTasks lets the tasks on the machine run until they end.
func (f *workerFixture) runTasks() {
	for range 2 { // the first tick starts fetched tasks
		f.worker.Tick(f.worker.LastTick() + 2*taskRunTime)
	}
}

// startAndAnswer starts the attempt directly and delivers the answer to the dispatcher. It returns
// the commands.
func (f *workerFixture) startAndAnswer() message.Command {
	f.t.Helper()
	start := f.startDirectly()
	f.exchangeCommand(start)
	return start
}

// runToEnd starts the attempt directly, lets it end and delivers a heartbeat that lists the end.
// It returns the commands that started it, which were answered.
func (f *workerFixture) runToEnd() message.Command {
	f.t.Helper()
	start := f.startAndAnswer()
	f.runTasks()
	f.exchangeHeartbeat()
	return start
}

// forgetAttempt handles the owner's word that it has processed the end of the attempt.
func (f *workerFixture) forgetAttempt() {
	f.dispatcher.ForgetAttempt(message.TaskRef{Task: f.task, Attempt: 1, Machine: testMachine})
}

// checkCopyStartsNothing delivers a copy of commands to the worker, which must have forgotten
// the attempt that they start.
func (f *workerFixture) checkCopyStartsNothing(c message.Command) {
	f.t.Helper()
	if f.worker.Knows(f.task, 1) {
		f.t.Fatal("the worker has not forgotten the attempt, so the test proves nothing")
	}
	if repeated := f.worker.ExecuteCopy(c.Commands); len(repeated) > 0 {
		f.t.Error("a copy of an answered start started the attempt again")
	}
}

func TestAnsweredStartIsFencedBeforeForgetInReply(t *testing.T) {
	f := newWorkerFixture(t)
	start := f.runToEnd()
	f.forgetAttempt()
	f.exchangeHeartbeat()
	f.exchangeHeartbeat()
	f.checkCopyStartsNothing(start)
}

func TestAnsweredStartIsFencedBeforeDirectForget(t *testing.T) {
	f := newWorkerFixture(t)
	start := f.runToEnd()
	f.forgetAttempt()
	f.queue().requestDirect()
	forget := f.sendDirectCommands()
	if !hasOrder(forget.Commands.Orders, protocol.OpForget) {
		t.Fatalf("no direct order to forget the attempt: %+v", forget)
	}
	f.exchangeCommand(forget)
	f.checkCopyStartsNothing(start)
}

func TestCopyStartsNoCancelledOrMovedTask(t *testing.T) {
	for name, stop := range map[string]func(*workerFixture){
		"cancelled": func(f *workerFixture) {
			delete(f.dispatcher.Live, f.task.Job)
			f.dispatcher.MarkEnded(f.task.Job)
			f.dispatcher.JobEnded(f.task.Job, false)
		},
		"moved": func(f *workerFixture) {
			f.dispatcher.StopAttempt(message.Stop{TaskRef: message.TaskRef{Task: f.task, Attempt: 1, Machine: testMachine}, Kill: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newWorkerFixture(t)
			start := f.startAndAnswer()
			f.exchangeHeartbeat()
			stop(f)
			f.exchangeCommand(f.sendDirectCommands())
			f.exchangeHeartbeat()
			f.forgetAttempt()
			f.exchangeHeartbeat()
			f.checkCopyStartsNothing(start)
		})
	}
}

func TestLostAttemptIsFencedBeforeItsOwnerIsNotified(t *testing.T) {
	f := newWorkerFixture(t)
	start := f.startAndAnswer()
	f.exchangeHeartbeat()
	f.worker.Reboot(f.worker.LastTick())
	f.dispatcher.Local = nil
	for exchanges := 0; !f.wasNotified(f.task, message.EventEnded); exchanges++ {
		if exchanges > 3 {
			t.Fatal("the owner was not notified")
		}
		f.exchangeHeartbeat()
	}
	f.checkCopyStartsNothing(start)
}

func TestFoundAttemptIsFencedBeforeForget(t *testing.T) {
	f := newWorkerFixture(t)
	start := f.startDirectly()
	f.worker.Execute(start.Commands)
	f.queue().removeEntry(f.task) // found by a queue that did not send its start
	f.queue().commandInFlight = 0
	f.runTasks()
	f.exchangeHeartbeat()
	f.forgetAttempt()
	f.exchangeHeartbeat()
	f.checkCopyStartsNothing(start)
}

func TestStartIsFencedAfterShardReturns(t *testing.T) {
	f := newWorkerFixture(t)
	start := f.runToEnd()
	f.forgetAttempt()
	f.exchangeHeartbeat()
	old := f.dispatcher.Shards
	id := sharding.ShardOf(old, testMachine, "a")
	for _, holder := range []protocol.LeaseID{101, f.dispatcher.Session} {
		f.dispatcher.Shards = sharding.Copy(old)
		sharding.Assign(f.dispatcher.Shards, id, holder)
		f.dispatcher.AdoptShards(old)
		old = f.dispatcher.Shards
	}
	f.exchangeHeartbeat()
	f.checkCopyStartsNothing(start)
}

func TestTokensRiseAcrossQueuesOfOneMachine(t *testing.T) {
	f := newWorkerFixture(t)
	f.runToEnd()
	issued := f.queue().fencingToken()
	f.dispatcher.dropQueue(testMachine)
	q := f.dispatcher.addQueue(testMachine, "a")
	if q.fencingToken() < issued {
		t.Errorf("the new queue begins with the token %d, want at least %d", q.fencingToken(), issued)
	}
}

func TestShardWithoutTokensLeftForgetsNothing(t *testing.T) {
	f := newWorkerFixture(t)
	id := f.queue().shardID()
	f.dispatcher.Shards.List[id].Epoch = f.dispatcher.Shards.List[id].Since // as earlier versions write it
	f.runToEnd()
	f.forgetAttempt()
	f.exchangeHeartbeat()
	if !f.worker.Knows(f.task, 1) {
		t.Fatal("forgotten with the token of its direct start")
	}
	_, raise := f.dispatcher.RequestedShardChanges()
	if len(raise) != 1 || raise[0] != id {
		t.Fatalf("requested more tokens for the shards %v, want %v", raise, id)
	}
	old := f.dispatcher.Shards
	f.dispatcher.Shards = sharding.Copy(old)
	sharding.RaiseEpochs(f.dispatcher.Shards, raise)
	f.dispatcher.AdoptShards(old)
	f.exchangeHeartbeat()
	if f.worker.Knows(f.task, 1) {
		t.Error("not forgotten although the shard got more tokens")
	}
	if _, again := f.dispatcher.RequestedShardChanges(); len(again) > 0 {
		t.Errorf("requested tokens again for the shards %v", again)
	}
}

func TestLaterTokenDoesNotRefuseCommandsInFlight(t *testing.T) {
	f := newWorkerFixture(t)
	f.startAndAnswer()
	f.runTasks()
	f.task.Job = "job-2"
	second := f.startDirectly()
	f.exchangeHeartbeat() // lists the end of the first attempt
	if !f.worker.Accepts(second.Commands) {
		t.Error("the worker refuses commands that are on their way")
	}
	f.exchangeHeartbeat() // commands that stay unanswered don't keep the token from rising
	if f.worker.Accepts(second.Commands) {
		t.Error("no later token was issued with the second reply")
	}
}

func TestWorkerWithLaterTokenIsNotCutOff(t *testing.T) {
	f := newWorkerFixture(t)
	f.worker.Term = f.dispatcher.LastFencingToken(testMachine, "a")
	if reply := f.deliverHeartbeat(); reply.Term < f.worker.Term {
		t.Errorf("the reply carries the token %d, the worker has seen %d", reply.Term, f.worker.Term)
	}
}

// A worker that has forgotten its token executes the copy; no reply renews the lease that ends it.
func TestCopyAfterRebootFromScratchEndsWithLease(t *testing.T) {
	f := newWorkerFixture(t)
	start := f.runToEnd()
	f.forgetAttempt()
	f.exchangeHeartbeat()
	f.exchangeHeartbeat()
	f.worker.RebootFromScratch(f.worker.LastTick())
	rebooted := f.worker.LastTick()
	if _, accepted := f.offerHeartbeat(); accepted {
		t.Error("a heartbeat that may have been delayed by the network renews the lease")
	}
	if !f.worker.Execute(start.Commands) {
		t.Fatal("the worker refuses the copy, so the test proves nothing")
	}
	f.worker.TickStalled(rebooted + time.Duration(f.worker.LeaseS*float64(time.Second)) + 1)
	if f.worker.Knows(f.task, 1) || f.worker.Accepts(start.Commands) {
		t.Error("the attempt or its start outlives the lease")
	}
}
