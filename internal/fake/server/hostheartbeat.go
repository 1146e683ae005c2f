package server

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/transport"
)

const (
	// heartbeatMinInterval is the least time between two heartbeats of a worker.
	heartbeatMinInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a controller may take to answer one.
	heartbeatTimeout = 4 * time.Second
	// retryDelay is the time until the next controller is tried after a failure.
	retryDelay = time.Second
	// heartbeatJitter is by what part of itself the time between heartbeats varies.
	heartbeatJitter = 0.25

	heartbeatPath = "/v1/report"
	// countedHost stands for an address of usual length when bytes are counted.
	countedHost = "127.0.0.1:00000"
)

// errMachineDown says that the worker's machine has ended.
var errMachineDown = errors.New("the machine has ended")

// heartbeatSender sends the heartbeats of one worker: to one controller after the other
// until one accepts them.
type heartbeatSender struct {
	host    *Host
	worker  *worker
	names   []protocol.NodeName // of the controllers, in order
	clients []*transport.Client // by the same order
	current int                 // the controller that is tried next
}

// sendHeartbeats sends the heartbeats of a worker until its machine or the host ends.
func (h *Host) sendHeartbeats(w *worker) {
	s := &heartbeatSender{host: h, worker: w, names: slices.Sorted(maps.Keys(h.cfg.Controllers))}
	for _, name := range s.names {
		s.clients = append(s.clients, transport.NewClient(h.cfg.Controllers[name]))
	}
	for {
		begun := time.Now()
		pause, err := s.send()
		if errors.Is(err, errMachineDown) || !s.wait(begun, pause) {
			return
		}
	}
}

// wait waits until the next heartbeat is due, or a change allows an earlier one. It
// reports whether the host is still open.
func (s *heartbeatSender) wait(begun time.Time, pause time.Duration) bool {
	due := time.NewTimer(pause)
	defer due.Stop()
	select {
	case <-s.host.done:
		return false
	case <-due.C:
	case <-s.worker.changed:
		time.Sleep(time.Until(begun.Add(min(heartbeatMinInterval, pause))))
	}
	return true
}

// send sends one heartbeat, and returns after how long the next one is due. Any error
// but errMachineDown says that the next controller is to be tried.
func (s *heartbeatSender) send() (pause time.Duration, err error) {
	h, w := s.host, s.worker
	h.mu.Lock()
	if w.Dead {
		h.mu.Unlock()
		return 0, errMachineDown
	}
	if w.restarting {
		h.mu.Unlock()
		return heartbeatMinInterval, nil
	}
	h.advance(w)
	sent, heartbeat := h.cfg.Clock(), w.heartbeat()
	h.mu.Unlock()

	reply, err := h.post(s.clients[s.current], heartbeat)
	if err != nil {
		return s.tryNext(), err
	}
	switch reply.Status {
	case http.StatusOK:
		return h.takeReply(w, heartbeat.AgentEpoch, sent, reply.Body), nil
	case http.StatusMisdirectedRequest:
		return s.redirect(reply.Body)
	}
	return s.tryNext(), nil
}

// tryNext goes on to the next controller, after a while.
func (s *heartbeatSender) tryNext() (pause time.Duration) {
	s.current = (s.current + 1) % len(s.names)
	return retryDelay
}

// redirect goes on to the controller that another one names as the leader.
func (s *heartbeatSender) redirect(body []byte) (pause time.Duration, err error) {
	var to protocol.Redirect
	if err := protocol.Decode(body, &to); err != nil {
		return s.tryNext(), fmt.Errorf("decode a redirect: %w", err)
	}
	i := slices.Index(s.names, to.Leader)
	if i < 0 || i == s.current {
		return s.tryNext(), nil
	}
	s.current = i
	return 0, nil
}

// takeReply takes the answer to a heartbeat, and returns the time until the next one.
func (h *Host) takeReply(w *worker, epoch protocol.AgentEpoch, sent time.Duration, body []byte) time.Duration {
	var reply protocol.HeartbeatReply
	if err := protocol.Decode(body, &reply); err != nil {
		return retryDelay
	}
	h.readJobs(reply.Orders)
	h.mu.Lock()
	if !w.restarting {
		h.advance(w)
		w.TakeReply(epoch, sent, reply)
		w.answered = max(w.answered, sent)
	}
	h.mu.Unlock()
	if len(reply.Orders) > 0 {
		w.heartbeatSoon()
	}
	jitter := 1 - heartbeatJitter + 2*heartbeatJitter*rand.Float64()
	return time.Duration(jitter * float64(h.cfg.HeartbeatInterval))
}

// post sends a heartbeat to a controller.
func (h *Host) post(c *transport.Client, heartbeat protocol.Heartbeat) (*transport.Message, error) {
	body, err := protocol.Encode(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("encode a heartbeat: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	reply, err := c.Do(ctx, http.MethodPost, heartbeatPath, body)
	out := len(transport.AppendRequest(nil, http.MethodPost, countedHost, heartbeatPath, body))
	if err != nil {
		h.Traffic.Add(trafficHeartbeats, 1, 0, out)
		return nil, fmt.Errorf("send a heartbeat: %w", err)
	}
	in := len(transport.AppendResponse(nil, reply)) // as the controllers write it
	h.Traffic.Add(trafficHeartbeats, 1, in, out)
	return reply, nil
}

// heartbeat is what the worker sends now, with its address.
func (w *worker) heartbeat() protocol.Heartbeat {
	heartbeat := w.Heartbeat()
	heartbeat.Address = w.addr
	if heartbeat.Tasks == nil {
		heartbeat.Tasks = []protocol.TaskStatus{}
	}
	return heartbeat
}

// heartbeatSoon has the worker send its next heartbeat before it is due.
func (w *worker) heartbeatSoon() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}
