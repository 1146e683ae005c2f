package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	testTimeout = 20 * time.Second
	testMachine = protocol.MachineID("vm-1")
)

var testTask = protocol.TaskID{Job: "job-1"}

// recorder is an Observer that sends the events as text on a channel. It is also a
// JobSource with a description of every job.
type recorder struct{ events chan string }

func (r *recorder) MachineUp(m protocol.MachineID, _ protocol.TypeInfo, _ protocol.Zone, _ bool, _ time.Duration) {
	r.events <- fmt.Sprint("machine up ", m)
}

func (r *recorder) MachineLost(m protocol.MachineID, _ time.Duration) {
	r.events <- fmt.Sprint("machine lost ", m)
}

func (r *recorder) TaskStartAccepted(_ protocol.MachineID, t protocol.TaskID, a protocol.Attempt, _ time.Duration) {
	r.events <- fmt.Sprint("start accepted ", t.Job, " ", a)
}

func (r *recorder) TaskStarted(_ protocol.MachineID, t protocol.TaskID, a protocol.Attempt, _ time.Duration) {
	r.events <- fmt.Sprint("started ", t.Job, " ", a)
}

func (r *recorder) TaskEnded(_ protocol.MachineID, t protocol.TaskID, a protocol.Attempt, cause protocol.EndCause, _ time.Duration) {
	r.events <- fmt.Sprint("ended ", t.Job, " ", a, " ", cause)
}

func (r *recorder) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	jobs := map[protocol.JobID]protocol.Job{}
	for _, id := range ids {
		jobs[id] = protocol.Job{ID: id, Kind: protocol.KindJobArray, Tasks: 1, CPUs: 1}
	}
	return jobs, nil
}

// expect waits for the next event and checks that it is want.
func (r *recorder) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-r.events:
		if got != want {
			t.Fatalf("event %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no event, want %q", want)
	}
}

// startController starts a server that serves heartbeats with a function, and returns its
// address.
func startController(t *testing.T, serve func(protocol.Heartbeat) (status int, reply any)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/v1/report" {
			t.Errorf("received %s %s, want a heartbeat", r.Method, r.URL.Path)
		}
		if heartbeat, ok := decodeRequest[protocol.Heartbeat](w, r); ok {
			status, reply := serve(heartbeat)
			writeResponse(w, status, reply)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestWorkerFollowsRedirectAndExecutesOrders checks that a worker follows a redirect to
// the holder of its shard, starts a task as ordered in a heartbeat reply, reports the running
// task in its next heartbeats, and stops it after a direct command. It also checks that the
// worker refuses a command of an earlier term.
func TestWorkerFollowsRedirectAndExecutesOrders(t *testing.T) {
	redirected := startController(t, func(protocol.Heartbeat) (int, any) {
		return http.StatusMisdirectedRequest, protocol.Redirect{Leader: "node-1"}
	})
	heartbeats := make(chan protocol.Heartbeat, 1000)
	leader := startController(t, func(h protocol.Heartbeat) (int, any) {
		heartbeats <- h
		reply := protocol.HeartbeatReply{Term: 3, Orders: []protocol.Order{}}
		if len(h.Tasks) == 0 {
			reply.Orders = append(reply.Orders, protocol.Order{Op: protocol.OpStart, Task: testTask, Attempt: 7})
		}
		return http.StatusOK, reply
	})
	recorded := &recorder{events: make(chan string, 100)}
	startedAt := time.Now()
	host := NewHost(HostConfig{
		Controllers:       map[protocol.NodeName]string{"node-0": redirected, "node-1": leader},
		HeartbeatInterval: time.Second, LeaseTime: time.Minute, GangWait: time.Second,
		RunTime: func(protocol.Job, protocol.TaskID) time.Duration { return time.Hour },
		Jobs:    recorded, Observer: recorded, Clock: func() time.Duration { return time.Since(startedAt) },
		Results: map[protocol.TaskID]bool{},
	})
	t.Cleanup(host.Close)
	if err := host.StartMachine(testMachine, protocol.TypeInfo{Name: "m", CPUs: 4}, "a", false); err != nil {
		t.Fatal(err)
	}
	recorded.expect(t, "machine up vm-1")
	recorded.expect(t, "start accepted job-1 7")
	recorded.expect(t, "started job-1 7")

	listed, up := host.Machine(testMachine)
	first := <-heartbeats
	if !up || first.Address != listed.Address || first.Tasks == nil || first.AgentEpoch != 1 {
		t.Fatalf("first heartbeat %+v does not match the machine %+v", first, listed)
	}
	for reported := first; len(reported.Tasks) != 1 || reported.Tasks[0].State != protocol.TaskRunning; {
		select {
		case reported = <-heartbeats:
		case <-time.After(testTimeout):
			t.Fatal("no heartbeat reports the running task")
		}
	}

	stop := protocol.Commands{Term: 3, AgentEpoch: 1, Orders: []protocol.Order{{Op: protocol.OpStop, Task: testTask, Attempt: 7}}}
	if status := sendCommands(t, listed.Address, stop); status != http.StatusOK {
		t.Fatalf("a command got status %d, want 200", status)
	}
	recorded.expect(t, "ended job-1 7 "+string(protocol.EndStopped))
	stop.Term = 2
	if status := sendCommands(t, listed.Address, stop); status != http.StatusConflict {
		t.Fatalf("a command of an earlier term got status %d, want 409", status)
	}
	if flows := host.Traffic.Flows(); flows[trafficCommands].Messages != 2 || flows[trafficHeartbeats].Messages < 3 {
		t.Errorf("traffic %+v, want 2 commands and at least 3 heartbeats", flows)
	}
	host.StopMachines(testMachine)
	recorded.expect(t, "machine lost vm-1")
	if _, up := host.Machine(testMachine); up {
		t.Error("machine still in service after it was stopped")
	}
}

// sendCommands sends direct commands to a worker and returns the status code of the response.
func sendCommands(t *testing.T, addr string, commands protocol.Commands) int {
	t.Helper()
	body, err := protocol.Encode(commands)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	reply, err := transport.NewClient(addr).Do(ctx, http.MethodPost, "/do", body)
	if err != nil {
		t.Fatal(err)
	}
	return reply.Status
}
