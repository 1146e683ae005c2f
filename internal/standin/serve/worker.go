package serve

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/standin"
	"damsonkeel/internal/transport"
)

// worker is one machine that is up.
type worker struct {
	*standin.Worker
	server *http.Server
	addr   string
	since  time.Duration
	soon   chan struct{} // something changed: report soon
}

const (
	// ReportS and LeaseS are the workers' times, as settings should name them.
	ReportS = 2.0
	LeaseS  = 12.0

	workerTick = 100 * time.Millisecond
	reportGap  = 500 * time.Millisecond
	reportWait = 4 * time.Second
)

// up puts a machine into service, unless it was returned meanwhile.
func (p *Platform) up(id protocol.MachineID, t protocol.TypeInfo, r protocol.RentRequest) {
	w := &worker{soon: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", locked(p, func(c protocol.Commands) (int, any) { return p.command(w, c) }))
	addr, err := p.serve(mux)
	if err != nil {
		return // a machine that never comes up
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.server, w.addr, w.since = p.servers[len(p.servers)-1], addr, p.now()
	if _, rented := p.cloud.Machines[id]; !rented {
		_ = w.server.Close() // returned while it booted
		return
	}
	w.Worker = &standin.Worker{
		ID: id, Info: t, Zone: r.Zone, Spot: r.Spot, LeaseS: LeaseS, GangWait: time.Minute, Results: p.results,
		Jobs: func(j protocol.JobID) (protocol.Job, bool) { job, ok := p.jobs[j]; return job, ok },
		RunTime: func(id protocol.TaskID) time.Duration {
			return time.Duration(p.jobs[id.Job].EstimateS * float64(time.Second))
		},
		Started: func(_ *standin.Worker, id protocol.TaskID, _ protocol.Attempt) {
			p.starts[id.Job]++
			if _, before := p.started[id]; !before {
				p.started[id] = time.Now()
			}
		},
		Ended: func(*standin.Worker, protocol.TaskID, protocol.EndCause) {},
	}
	w.Start(p.now())
	p.workers[id] = w
	go p.tick(w)
	go p.reports(w)
}

// command takes direct commands.
func (p *Platform) command(w *worker, c protocol.Commands) (int, any) {
	w.Tick(p.now())
	w.change()
	if w.Do(c) {
		return 200, w.report()
	}
	return 409, w.report()
}

// report is what it says now, with its address.
func (w *worker) report() protocol.Report {
	r := w.Report()
	if r.Address = w.addr; r.Tasks == nil {
		r.Tasks = []protocol.TaskReport{}
	}
	return r
}

func (w *worker) change() {
	select {
	case w.soon <- struct{}{}:
	default:
	}
}

// tick lets time pass on it.
func (p *Platform) tick(w *worker) {
	t := time.NewTicker(workerTick)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
		}
		p.mu.Lock()
		if w.Dead {
			p.mu.Unlock()
			return
		}
		before := len(w.Tasks())
		if w.Tick(p.now()); len(w.Tasks()) != before {
			w.change()
		}
		p.mu.Unlock()
	}
}

// reports has it report to one controller after the other until one keeps it.
func (p *Platform) reports(w *worker) {
	clients := map[protocol.NodeName]*transport.Client{}
	for n, addr := range p.nodes {
		clients[n] = transport.NewClient(addr)
	}
	names := slices.Sorted(maps.Keys(p.nodes))
	for at := 0; ; {
		p.mu.Lock()
		if w.Dead {
			p.mu.Unlock()
			return
		}
		sent, r := p.now(), w.report()
		p.mu.Unlock()
		pause := time.Second
		switch m, err := post(clients[names[at]], r); {
		case err == nil && m.Status == 200:
			var reply protocol.ReportReply
			if protocol.Decode(m.Body, &reply) == nil {
				p.mu.Lock()
				w.Tick(p.now())
				w.Answer(r.Session, sent, reply)
				p.mu.Unlock()
				if pause = time.Duration(ReportS * float64(time.Second)); len(reply.Orders) > 0 {
					w.change()
				}
			}
		case err == nil && m.Status == 421:
			var to protocol.Redirect
			if protocol.Decode(m.Body, &to) == nil {
				if i := slices.Index(names, to.ReportTo); i >= 0 && i != at {
					at = i
					continue
				}
			}
			at = (at + 1) % len(names)
		default:
			at = (at + 1) % len(names)
		}
		select {
		case <-p.done:
			return
		case <-time.After(pause):
		case <-w.soon:
			time.Sleep(reportGap)
		}
	}
}

func post(c *transport.Client, r protocol.Report) (*transport.Message, error) {
	body, err := protocol.Encode(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportWait)
	defer cancel()
	return c.Do(ctx, "POST", "/v1/report", body)
}
