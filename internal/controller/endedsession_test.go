package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// encoded returns a value as it is stored.
func encoded(t testing.TB, value any) protocol.RawValue {
	t.Helper()
	raw, err := protocol.Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// serveStore serves a fake key-value store on loopback until the test ends, and returns its address.
func serveStore(t *testing.T, store http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// nodeWithStore returns a controller without peers that uses the key-value store at an address.
// None of its actors runs.
func nodeWithStore(address string, nodeLease time.Duration) *Node {
	settings, operator := fake.Settings(), config.DefaultOperator()
	settings.Name, settings.Members, settings.Services.State = "node-0", nil, address
	operator.NodeLease = nodeLease
	return NewNode(settings, operator, slog.New(slog.DiscardHandler))
}

// liveJob returns a job of one task.
func liveJob(id protocol.JobID) protocol.Job {
	return protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Image: "i"}
}

// TestChangesOfEndedSessionAreDropped checks that a change that the watch of an ended session
// delivers late changes nothing in the next session, whose snapshot is newer. It guards against
// ran_cancelled (a cancelled job becomes live again), ran_twice (an older block of machine records
// takes machines away, whose tasks are placed again), and views that controllers write against
// each other (a registration is deleted or an ended one comes back).
func TestChangesOfEndedSessionAreDropped(t *testing.T) {
	const ended, current = 100, 200
	machine := func(id protocol.MachineID) record.BlockEntry {
		return record.BlockEntry{ID: id, Epoch: 1 << 32, Machine: record.Machine{Session: 1, Address: "x", Type: "small", Zone: "a"}}
	}
	block := record.BlockKey("1")
	h := newHarness(t, "node-1")
	h.step(message.SessionEnded{})
	h.step(message.Snapshot{Session: current, Items: []protocol.Item{
		{Key: record.NodeKey("node-0"), Version: 70, Value: encoded(t, record.Node{Session: current, Layout: record.LatestLayout})},
		{Key: record.LiveKey("job-2"), Version: 71, Value: encoded(t, liveJob("job-2"))},
		{Key: block, Version: 72, Value: encoded(t, record.Block{Machines: []record.BlockEntry{machine("vm-1"), machine("vm-2")}})},
	}})
	for _, event := range []protocol.Event{
		{Put: record.LiveKey("job-1"), Value: encoded(t, liveJob("job-1")), Version: 50},
		{Delete: record.LiveKey("job-2"), Version: 51},
		{Put: block, Value: encoded(t, record.Block{Machines: []record.BlockEntry{machine("vm-1")}}), Version: 52},
		{Delete: record.NodeKey("node-0"), Version: 53},
		{Put: record.NodeKey("node-2"), Value: encoded(t, record.Node{Session: 102}), Version: 54},
		{Put: record.ViewKey, Value: encoded(t, record.View{Term: 9, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": ended}}), Version: 55},
	} {
		h.core.Step(h.now, message.InSession{Session: ended, Message: message.RecordChanged{Event: event}})
	}
	if h.core.Live["job-1"] != nil {
		t.Error("a job that was cancelled before the snapshot is live again")
	}
	if h.core.Live["job-2"] == nil {
		t.Error("a live job was deleted")
	}
	if h.core.Records["vm-2"] == nil {
		t.Error("an older block has deregistered a machine")
	}
	if !h.core.members.IsRegistered("node-0") || h.core.members.IsRegistered("node-2") {
		t.Error("the registration of a controller has changed")
	}
	if h.core.View.Term != 0 {
		t.Error("a view was adopted")
	}
}

// TestResultsOfEndedSessionAreDropped checks that neither the end of an earlier session, an
// extension of its lease nor the result of a request that it made has an effect in the next
// session. It guards against acting without the lease, and against a second transaction while one
// is in flight.
func TestResultsOfEndedSessionAreDropped(t *testing.T) {
	h := newHarness(t, "node-1")
	h.step(message.Snapshot{Session: 200})
	h.step(message.LeaseExtended{Until: h.now + Time(time.Second)})
	deadline := h.core.LeaseDeadline
	for _, late := range []message.SessionMessage{
		message.LeaseExtended{Until: Time(time.Hour)},
		message.SessionEnded{},
		message.BitmapLoaded{Job: "job-1", OK: true},
		message.MachinesListed{OK: true},
	} {
		h.core.Step(h.now, message.InSession{Session: 100, Message: late})
	}
	if h.core.Session != 200 || h.core.LeaseDeadline != deadline {
		t.Errorf("session %d with the lease deadline %v, want 200 and %v", h.core.Session, h.core.LeaseDeadline, deadline)
	}
	if h.core.autoscaler.ListReceived {
		t.Error("adopted a list of machines that an earlier session requested")
	}
}

// TestCancellationMarkOutlivesSession checks that a job that was announced as cancelled between two
// sessions is not started in the later one, whose snapshot was read before the cancellation. It
// guards against starts after a confirmed cancellation: the acknowledgement promises that there
// are none.
func TestCancellationMarkOutlivesSession(t *testing.T) {
	h := newHarness(t)
	h.step(message.SessionEnded{})
	h.step(message.JobCancelled{Job: "job-1"})
	h.step(message.Snapshot{Session: 200, Revision: 10, Items: []protocol.Item{
		{Key: record.LiveKey("job-1"), Version: 5, Value: encoded(t, liveJob("job-1"))},
		{Key: record.LiveKey("job-2"), Version: 6, Value: encoded(t, liveJob("job-2"))},
	}})
	if h.core.Live["job-1"] == nil || h.core.MayStart("job-1") {
		t.Error("the job may be started")
	}
	if !h.core.MayStart("job-2") {
		t.Error("a job that was not cancelled may not be started")
	}
	if h.core.ObservedRevision != 10 {
		t.Errorf("observed up to revision %d, want 10", h.core.ObservedRevision)
	}
}

// lateWatchStore is a key-value store that ends the first lease at its first extension, and
// answers the watch that was opened under it when the second session has read its records: with
// the record of a job that these do not contain any more.
type lateWatchStore struct {
	t          *testing.T
	lists      atomic.Int32
	leases     atomic.Int32
	watches    atomic.Int32
	secondList chan struct{} // closed when the second session reads the records
	answered   chan struct{} // closed when the late watch was answered, or its request had ended
}

func (s *lateWatchStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	respond := func(status int, body any) {
		w.WriteHeader(status)
		_, _ = w.Write(encoded(s.t, body))
	}
	switch {
	case r.URL.Path == "/keys":
		if s.lists.Add(1) == 2 {
			close(s.secondList)
		}
		respond(http.StatusOK, protocol.Page{Revision: 10, Items: []protocol.Item{}})
	case r.URL.Path == "/holds":
		respond(http.StatusOK, protocol.LeaseReply{Lease: protocol.LeaseID(s.leases.Add(1))})
	case r.URL.Path == "/holds/1/extend":
		respond(http.StatusNotFound, protocol.ErrorBody{Error: "no such lease"})
	case r.URL.Path == "/follow" && s.watches.Add(1) == 1:
		s.answerLate(r, respond)
	case r.URL.Path == "/follow":
		<-r.Context().Done()
	default: // extensions and transactions
		respond(http.StatusOK, protocol.TransactionReply{Revision: 11})
	}
}

// answerLate answers the watch of the first session during the second one, unless the client has
// closed the connection.
func (s *lateWatchStore) answerLate(r *http.Request, respond func(int, any)) {
	defer close(s.answered)
	<-s.secondList
	select {
	case <-time.After(300 * time.Millisecond):
		respond(http.StatusOK, protocol.Events{Revision: 9, Events: []protocol.Event{{Put: record.LiveKey("job-1"), Value: encoded(s.t, liveJob("job-1")), Version: 9}}})
	case <-r.Context().Done():
	}
}

// TestWatchEndsWithItsSession checks with a store on loopback that a watch that is answered after
// its session has ended does not reach the core in the next session. It guards against
// ran_cancelled: the job of the late answer, cancelled in between, became live for good.
func TestWatchEndsWithItsSession(t *testing.T) {
	store := &lateWatchStore{t: t, secondList: make(chan struct{}), answered: make(chan struct{})}
	node := nodeWithStore(serveStore(t, store), time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go node.runCore(ctx)
	go node.runSessions(ctx)
	select {
	case <-store.answered:
	case <-time.After(10 * time.Second):
		t.Fatal("the first session did not end")
	}
	time.Sleep(100 * time.Millisecond) // for an answer to reach the core
	state, ok := queryCore(node, func(c *Core) [2]bool { return [2]bool{c.Session == 2, c.Live["job-1"] != nil} })
	if !ok || !state[0] {
		t.Fatal("the second session has not begun")
	}
	if state[1] {
		t.Error("the watch of the ended session has brought back a job")
	}
}

// TestCommandsAreCheckedAfterWait checks that direct commands that are sent late, for want of a
// command slot or since the process stood still, are not sent after their session has ended. It
// guards against starts that are sent after the lease, or after a cancellation that this
// controller has acknowledged.
func TestCommandsAreCheckedAfterWait(t *testing.T) {
	worker, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	connected := make(chan struct{})
	go func() {
		if conn, err := worker.Accept(); err == nil {
			_ = conn.Close()
			close(connected)
		}
	}()
	node := nodeWithStore("", time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go node.runCore(ctx)
	decidedAt := node.now()
	time.Sleep(2 * commandRecheckAfter)
	node.executeCommand(ctx, 1, decidedAt, message.Command{Address: worker.Addr().String()})
	select {
	case <-connected:
		t.Error("commands of an ended session were sent")
	case <-time.After(100 * time.Millisecond):
	}
}

// TestMaySend checks which commands that have waited may still be sent.
func TestMaySend(t *testing.T) {
	h := newHarness(t)
	h.acceptJob("job-1", "free", 1)
	start := &protocol.Commands{Orders: []protocol.Order{{Op: protocol.OpStart, Task: protocol.TaskID{Job: "job-1"}}}}
	kill := &protocol.Commands{Orders: []protocol.Order{{Op: protocol.OpStop, Task: protocol.TaskID{Job: "job-1"}}}}
	if !h.core.MaySend(h.now, 100, start) || h.core.MaySend(h.now, 99, start) || h.core.MaySend(Time(2*time.Hour), 100, start) {
		t.Error("a start may be sent in its session and while the lease lasts, and not otherwise")
	}
	h.step(message.JobCancelled{Job: "job-1"})
	if h.core.MaySend(h.now, 100, start) || !h.core.MaySend(h.now, 100, kill) {
		t.Error("of a cancelled job no start may be sent, and a kill may")
	}
}

// revocationStore is a key-value store that grants one lease, and calls onRevoke when it is revoked.
type revocationStore struct {
	t        *testing.T
	onRevoke func()
}

func (s *revocationStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body any = protocol.TransactionReply{Revision: 11}
	switch {
	case r.URL.Path == "/keys":
		body = protocol.Page{Revision: 10, Items: []protocol.Item{}}
	case r.URL.Path == "/holds":
		body = protocol.LeaseReply{Lease: 1}
	case r.Method == http.MethodDelete:
		s.onRevoke()
	case r.URL.Path == "/follow":
		<-r.Context().Done()
		return
	}
	_, _ = w.Write(encoded(s.t, body))
}

// TestShutdownEndsSessionBeforeLease checks that a controller that is told to end has ended its
// session when it revokes its lease. It guards against work under a lease that is over: the
// other controllers take over, and confirm cancellations, as soon as the lease has ended.
func TestShutdownEndsSessionBeforeLease(t *testing.T) {
	sessionAtRevocation := make(chan protocol.LeaseID, 1)
	store := &revocationStore{t: t}
	node := nodeWithStore(serveStore(t, store), 8*time.Second)
	session := func() protocol.LeaseID {
		id, _ := queryCore(node, func(c *Core) protocol.LeaseID { return c.Session })
		return id
	}
	store.onRevoke = func() { sessionAtRevocation <- session() }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go node.runCore(ctx)
	go node.runSessions(ctx)
	for begun := time.Now(); session() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("no session has begun")
		}
	}
	node.Shutdown()
	select {
	case id := <-sessionAtRevocation:
		if id != 0 {
			t.Errorf("the lease of session %d was revoked while the session lasted", id)
		}
	default:
		t.Error("the lease was not revoked")
	}
}
