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

// recorder is an Observer, whose events it passes on as text, and a JobSource.
type recorder struct{ events chan string }

func (r *recorder) MachineUp(m protocol.MachineID, _ protocol.TypeInfo, _ protocol.Zone, _ bool, _ time.Duration) {
	r.events <- fmt.Sprint("up ", m)
}

func (r *recorder) MachineLost(m protocol.MachineID, _ time.Duration) {
	r.events <- fmt.Sprint("gone ", m)
}

func (r *recorder) TaskStartAccepted(_ protocol.MachineID, t protocol.TaskID, a protocol.Attempt, _ time.Duration) {
	r.events <- fmt.Sprint("ordered ", t.Job, " ", a)
}

func (r *recorder) TaskStarted(_ protocol.MachineID, t protocol.TaskID, a protocol.Attempt, _ time.Duration) {
	r.events <- fmt.Sprint("on ", t.Job, " ", a)
}

func (r *recorder) TaskEnded(_ protocol.MachineID, t protocol.TaskID, a protocol.Attempt, cause protocol.EndCause, _ time.Duration) {
	r.events <- fmt.Sprint("off ", t.Job, " ", a, " ", cause)
}

func (r *recorder) Describe(ids []protocol.JobID) (map[protocol.JobID]protocol.Job, error) {
	jobs := map[protocol.JobID]protocol.Job{}
	for _, id := range ids {
		jobs[id] = protocol.Job{ID: id, Kind: protocol.KindJobArray, Tasks: 1, CPUs: 1}
	}
	return jobs, nil
}

// next expects an event.
func (r *recorder) next(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-r.events:
		if got != want {
			t.Fatalf("%q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no event, want %q", want)
	}
}

// controller serves heartbeats with a function, and returns its address.
func controller(t *testing.T, serve func(protocol.Heartbeat) (status int, reply any)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/v1/report" {
			t.Errorf("%s %s", r.Method, r.URL.Path)
		}
		if heartbeat, ok := read[protocol.Heartbeat](w, r); ok {
			status, reply := serve(heartbeat)
			answer(w, status, reply)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestWorkerFollowsRedirectAndExecutesOrders: a worker finds the leader by a redirect,
// starts the task that the answer to its heartbeat orders, reports it in the next ones,
// and stops it by a direct command.
func TestWorkerFollowsRedirectAndExecutesOrders(t *testing.T) {
	redirected := controller(t, func(protocol.Heartbeat) (int, any) {
		return http.StatusMisdirectedRequest, protocol.Redirect{Leader: "node-1"}
	})
	heartbeats := make(chan protocol.Heartbeat, 1000)
	leader := controller(t, func(h protocol.Heartbeat) (int, any) {
		heartbeats <- h
		reply := protocol.HeartbeatReply{Term: 3, Orders: []protocol.Order{}}
		if len(h.Tasks) == 0 {
			reply.Orders = append(reply.Orders, protocol.Order{Op: protocol.OpStart, Task: testTask, Attempt: 7})
		}
		return http.StatusOK, reply
	})
	seen := &recorder{events: make(chan string, 100)}
	begun := time.Now()
	host := NewHost(HostConfig{
		Controllers:       map[protocol.NodeName]string{"node-0": redirected, "node-1": leader},
		HeartbeatInterval: time.Second, LeaseTime: time.Minute, GangWait: time.Second,
		RunTime: func(protocol.Job, protocol.TaskID) time.Duration { return time.Hour },
		Jobs:    seen, Observer: seen, Clock: func() time.Duration { return time.Since(begun) },
		Results: map[protocol.TaskID]bool{},
	})
	t.Cleanup(host.Close)
	if err := host.Up(testMachine, protocol.TypeInfo{Name: "m", CPUs: 4}, "a", false); err != nil {
		t.Fatal(err)
	}
	seen.next(t, "up vm-1")
	seen.next(t, "ordered job-1 7")
	seen.next(t, "on job-1 7")

	listed, up := host.Machine(testMachine)
	first := <-heartbeats
	if !up || first.Address != listed.Address || first.Tasks == nil || first.AgentEpoch != 1 {
		t.Fatalf("first heartbeat %+v of a machine at %+v", first, listed)
	}
	for reported := first; len(reported.Tasks) != 1 || reported.Tasks[0].State != protocol.TaskRunning; {
		select {
		case reported = <-heartbeats:
		case <-time.After(testTimeout):
			t.Fatal("the running task is not reported")
		}
	}

	stop := protocol.Commands{Term: 3, AgentEpoch: 1, Orders: []protocol.Order{{Op: protocol.OpStop, Task: testTask, Attempt: 7}}}
	if status := command(t, listed.Address, stop); status != http.StatusOK {
		t.Fatalf("answer %d to a command", status)
	}
	seen.next(t, "off job-1 7 "+string(protocol.EndStopped))
	stop.Term = 2
	if status := command(t, listed.Address, stop); status != http.StatusConflict {
		t.Fatalf("answer %d to a command of an earlier term", status)
	}
	if flows := host.Traffic.Flows(); flows[trafficCommands].Messages != 2 || flows[trafficHeartbeats].Messages < 3 {
		t.Errorf("traffic %+v", flows)
	}
	host.Kill(testMachine)
	seen.next(t, "gone vm-1")
	if _, up := host.Machine(testMachine); up {
		t.Error("up after it was killed")
	}
}

// command sends direct commands to a worker, and returns the status of the answer.
func command(t *testing.T, addr string, commands protocol.Commands) int {
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
