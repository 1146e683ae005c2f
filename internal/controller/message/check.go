package message

import (
	"errors"
	"fmt"
	"math"

	"damsonkeel/internal/controller/resource"
)

// Bounds of what a peer may say: far beyond what there is. What lies outside is of
// another version, or broken.
const (
	mostAmount = 1e18
	mostPieces = 1 << 16
	mostCount  = 1 << 30
)

// checker gathers what is wrong with a message.
type checker struct{ errs []error }

// amounts checks decimal numbers that can't be below a bound.
func (c *checker) amounts(what string, least float64, xs ...float64) {
	for _, x := range xs {
		if math.IsNaN(x) || x < least || x > mostAmount {
			c.errs = append(c.errs, fmt.Errorf("%s: %v", what, x))
		}
	}
}

// counts checks whole numbers from 0 to one less than a bound.
func (c *checker) counts(what string, below int, ns ...int) {
	for _, n := range ns {
		if n < 0 || n >= below {
			c.errs = append(c.errs, fmt.Errorf("%s: %d", what, n))
		}
	}
}

func (c *checker) waits(ws []WaitChange) {
	for i := range ws {
		c.amounts("wait", 0, ws[i].Add)
		c.uses(ws[i].Taken)
	}
}

func (c *checker) uses(us []LevelUse) {
	for _, u := range us {
		c.counts("level", resource.Levels, u.Level)
		c.amounts("use", 0, u.CPUs, u.GPUs, u.GB)
	}
}

func (c *checker) state(s *MachineState) {
	c.amounts("wait", 0, s.Wait, s.IdleS)
	c.amounts("free", -mostAmount, s.FreeCPUs, s.FreeGPUs, s.FreeGB)
	c.amounts("queue", 0, s.Queue...)
	c.counts("levels", resource.Levels+1, len(s.Queue))
	c.counts("attempts", mostCount, s.Held, s.Queued)
	c.uses(append([]LevelUse{s.Ending}, s.Uses...))
}

func (c *checker) hand(h *Handover) {
	c.counts("pieces", mostPieces, h.Pieces, h.Piece)
	for i := range h.Queues {
		q := &h.Queues[i]
		for k := range q.Entries {
			e := &q.Entries[k]
			c.counts("level", resource.Levels, int(e.Level))
			c.amounts("attempt", 0, e.EstimateS, e.Need.CPUs, e.Need.GPUs, e.Need.GB, e.GraceS)
		}
	}
}

// Check reports what in a peer's message can't be: the rest of the core reckons with
// its numbers, and looks things up by them.
func (m *PeerMessage) Check() error {
	c := &checker{}
	if m.Place != nil {
		for _, t := range m.Place.Tasks {
			c.counts("level", resource.Levels, t.Level)
			c.amounts("placement", 0, t.EstimateS, t.CPUs, t.GPUs, t.GB)
		}
	}
	if m.Stop != nil {
		c.amounts("grace", 0, m.Stop.GraceS)
	}
	if m.Added != nil {
		c.waits(m.Added.Waits)
	}
	c.waits(m.Table)
	if r := m.Relay; r != nil {
		for i := range r.States {
			c.state(&r.States[i])
		}
		for _, g := range r.Progress {
			c.counts("level", resource.Levels+1, g.Level)
		}
		for i := range r.Demand {
			d := &r.Demand[i]
			c.counts("level", resource.Levels, d.Level)
			c.counts("unstarted", mostCount, d.Unstarted)
			c.amounts("demand", 0, d.EstimateS, d.OldestS)
		}
		c.amounts("lateness", 0, r.Load.LateMS)
	}
	if m.Inventory != nil {
		for _, h := range m.Inventory.Held {
			c.amounts("held", 0, h.Need.CPUs, h.Need.GPUs, h.Need.GB)
		}
	}
	if m.Hand != nil {
		c.hand(m.Hand)
	}
	return errors.Join(c.errs...)
}
