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
	// heartbeatMinInterval is the minimum time between two heartbeats of a worker.
	heartbeatMinInterval = 500 * time.Millisecond
	// heartbeatTimeout is the time limit for a response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// retryDelay is the delay before a worker sends the next heartbeat after one that failed
	// or was refused.
	retryDelay = time.Second
	// heartbeatJitter is the random deviation of the time between heartbeats, as a fraction
	// of HostConfig.HeartbeatInterval in both directions.
	heartbeatJitter = 0.25

	heartbeatPath = "/v1/report"
	// assumedHost is the Host header field that is assumed when the bytes of a request are
	// counted: an address of the usual length.
	assumedHost = "127.0.0.1:00000"
)

// errMachineDown reports that the worker's machine has stopped.
var errMachineDown = errors.New("machine has stopped")

// heartbeatSender sends the heartbeats of one worker. It tries the controllers in turn
// until one accepts a heartbeat, and then stays with that controller.
type heartbeatSender struct {
	host    *Host
	worker  *worker
	names   []protocol.NodeName // sorted names of the controllers
	clients []*transport.Client // clients of the controllers, in the order of names
	current int                 // index of the controller that gets the next heartbeat
}

// sendHeartbeats sends the heartbeats of a worker until its machine stops or the host is
// closed.
func (h *Host) sendHeartbeats(w *worker) {
	s := &heartbeatSender{host: h, worker: w, names: slices.Sorted(maps.Keys(h.cfg.Controllers))}
	for _, name := range s.names {
		s.clients = append(s.clients, transport.NewClient(h.cfg.Controllers[name]))
	}
	for {
		startedAt := time.Now()
		pause, err := s.send()
		if errors.Is(err, errMachineDown) || !s.waitUntilDue(startedAt, pause) {
			return
		}
	}
}

// waitUntilDue waits until the next heartbeat is due, after pause, or, if an early one is
// requested, until heartbeatMinInterval (or pause, if that is shorter) after startedAt. It
// reports false if the host is closed.
func (s *heartbeatSender) waitUntilDue(startedAt time.Time, pause time.Duration) bool {
	due := time.NewTimer(pause)
	defer due.Stop()
	select {
	case <-s.host.done:
		return false
	case <-due.C:
	case <-s.worker.heartbeatRequested:
		time.Sleep(time.Until(startedAt.Add(min(heartbeatMinInterval, pause))))
	}
	return true
}

// send sends one heartbeat to the current controller, processes the reply, and returns the time
// until the next heartbeat is due. After any error but errMachineDown, or a refusal, that one
// goes to the next controller; after a redirect it goes to the controller named there. While
// the worker restarts, none is sent.
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
	sent, heartbeat := h.cfg.Clock(), w.nextHeartbeat()
	h.mu.Unlock()

	reply, err := h.post(s.clients[s.current], heartbeat)
	if err != nil {
		return s.selectNext(), err
	}
	switch reply.Status {
	case http.StatusOK:
		return h.processReply(w, heartbeat.AgentEpoch, sent, reply.Body), nil
	case http.StatusMisdirectedRequest:
		return s.followRedirect(reply.Body)
	}
	return s.selectNext(), nil
}

// selectNext selects the next controller and returns the delay before it is tried.
func (s *heartbeatSender) selectNext() (pause time.Duration) {
	s.current = (s.current + 1) % len(s.names)
	return retryDelay
}

// followRedirect selects the controller that a redirect names as the holder of the worker's
// shard; the next heartbeat is then due at once. If the redirect names an unknown controller or
// the current one, it selects the next controller.
func (s *heartbeatSender) followRedirect(body []byte) (pause time.Duration, err error) {
	var redirect protocol.Redirect
	if err := protocol.Decode(body, &redirect); err != nil {
		return s.selectNext(), fmt.Errorf("decode a redirect: %w", err)
	}
	i := slices.Index(s.names, redirect.Leader)
	if i < 0 || i == s.current {
		return s.selectNext(), nil
	}
	s.current = i
	return 0, nil
}

// processReply renews a worker's lease and executes the orders of the reply to the heartbeat
// that was sent at the given time and epoch, and returns the time until the next one is due.
// After orders it requests an early one. A restarting worker ignores the reply.
func (h *Host) processReply(w *worker, epoch protocol.AgentEpoch, sent time.Duration, body []byte) time.Duration {
	var reply protocol.HeartbeatReply
	if err := protocol.Decode(body, &reply); err != nil {
		return retryDelay
	}
	h.readJobs(reply.Orders)
	h.mu.Lock()
	if !w.restarting {
		h.advance(w)
		seen := w.Term
		w.ProcessReply(epoch, sent, reply)
		w.lastAnswered = max(w.lastAnswered, sent)
		if w.Term > seen {
			h.reportToken(w)
		}
	}
	h.mu.Unlock()
	if len(reply.Orders) > 0 {
		w.requestHeartbeat()
	}
	jitter := 1 - heartbeatJitter + 2*heartbeatJitter*rand.Float64()
	return time.Duration(jitter * float64(h.cfg.HeartbeatInterval))
}

// reportToken requests an early heartbeat because the worker has seen a later fencing token,
// at most once per half of a lease. The lock is held.
func (h *Host) reportToken(w *worker) {
	if now := h.cfg.Clock(); now-w.reportedToken >= h.cfg.LeaseTime/2 {
		w.reportedToken = now
		w.requestHeartbeat()
	}
}

// post sends a heartbeat to a controller and counts its traffic.
func (h *Host) post(c *transport.Client, heartbeat protocol.Heartbeat) (*transport.Message, error) {
	body, err := protocol.Encode(heartbeat)
	if err != nil {
		return nil, fmt.Errorf("encode a heartbeat: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	reply, err := c.Do(ctx, http.MethodPost, heartbeatPath, body)
	out := len(transport.AppendRequest(nil, http.MethodPost, assumedHost, heartbeatPath, body))
	if err != nil {
		h.Traffic.Add(trafficHeartbeats, 1, 0, out)
		return nil, fmt.Errorf("send a heartbeat: %w", err)
	}
	in := len(transport.AppendResponse(nil, reply)) // controllers encode responses with the same function
	h.Traffic.Add(trafficHeartbeats, 1, in, out)
	return reply, nil
}

// nextHeartbeat returns the next heartbeat of the model, with the address at which the worker
// serves direct commands.
func (w *worker) nextHeartbeat() protocol.Heartbeat {
	heartbeat := w.Heartbeat()
	heartbeat.Address = w.addr
	if heartbeat.Tasks == nil {
		heartbeat.Tasks = []protocol.TaskStatus{}
	}
	return heartbeat
}

// requestHeartbeat requests that the worker sends its next heartbeat before it is due. It never
// blocks; a request in addition to an unserved one has no effect.
func (w *worker) requestHeartbeat() {
	select {
	case w.heartbeatRequested <- struct{}{}:
	default:
	}
}
