package coordination

import (
	"time"

	"damsonkeel/internal/protocol"
)

// directTimeout is how long a direct command may stay unanswered before the
// term is raised, which settles it.
const directTimeout = 4 * time.Second

// wake has a queue's commands sent at once, at the end of the step.
func (c *Core) wake(q *queue) {
	if !q.push {
		q.push = true
		c.pushing = append(c.pushing, q)
	}
}

// push sends commands straight to workers whose queue or room has changed,
// instead of waiting for their next report. Only a worker known to have seen
// the present term gets any, one message at a time.
func (c *Core) push() {
	if !c.acting() {
		return
	}
	woken := c.pushing
	c.pushing = nil
	for _, q := range woken {
		if !q.push || q.commanding || c.queues[q.id] != q {
			continue // one with a command under way is woken by its answer
		}
		q.push = false
		if !q.inventoried || q.epoch == 0 || q.addr == "" || !q.everSeen {
			continue
		}
		before := map[*entry]bool{}
		for _, e := range q.entries {
			before[e] = e.sent
		}
		orders := c.orders(q, 0)
		if len(orders) == 0 {
			continue
		}
		for _, e := range q.entries {
			if e.sent && !before[e] {
				e.direct = c.view.Term
			}
		}
		q.commanding = true
		c.do(Command{Machine: q.id, Address: q.addr, Commands: protocol.Commands{
			Term: c.view.Term, Session: q.session, Orders: orders,
		}})
	}
}

// commanded takes the answer to direct commands, or that there was none.
func (c *Core) commanded(m Commanded) {
	q := c.queues[m.Machine]
	if q == nil {
		return
	}
	q.commanding = false
	if q.push {
		q.push = false
		c.wake(q)
	}
	if q.session != m.Session {
		return
	}
	if !m.Answered {
		// Nothing is known of these starts. A term that every worker sees
		// makes sure that they are not executed from then on.
		if c.unsettled(q) && m.Term == c.view.Term {
			c.log.Info("no answer from a worker: raising the term", "machine", q.id)
			c.raise = true
		}
		return
	}
	for _, o := range m.Orders {
		if e := q.entries[o.Task]; e != nil && e.attempt == o.Attempt && e.direct == m.Term {
			e.direct = 0 // executed or refused, not under way any more
			if !m.Executed && !e.present {
				e.sent = false
				q.enqueue(e)
			}
		}
	}
	r := m.Report
	if !c.acting() || r.Machine != q.id || r.Session != q.session || r.Seq <= q.seq || r.Term > c.view.Term {
		return
	}
	q.seq = r.Seq
	c.takeReport(q, &r, false)
}

func (c *Core) unsettled(q *queue) bool {
	for _, e := range q.entries {
		if e.direct != 0 {
			return true
		}
	}
	return false
}
