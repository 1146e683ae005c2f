package server

import (
	"math/rand/v2"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// CommandCopies describes copies of direct commands that arrive once more after they were
// executed and answered.
type CommandCopies struct {
	Fraction float64       // fraction of the executed commands of which a copy arrives
	MaxDelay time.Duration // longest time after which a copy arrives; see fake.CopyDelay
	Seed     uint64        // determines which commands are copied, and when
}

// commandCopier draws the copies of commands and counts their effects.
type commandCopier struct {
	CommandCopies
	rng *rand.Rand
	CopyCounts
}

// CopyCounts counts the copies of direct commands that reached a worker, and the attempts that
// a copy started although the worker had executed and forgotten them before.
type CopyCounts struct {
	Delivered, RepeatedStarts int
}

// CopyCommands makes copies of direct commands arrive from now on.
func (h *Host) CopyCommands(copies CommandCopies) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copies.CommandCopies, h.copies.rng = copies, rand.New(rand.NewPCG(copies.Seed, 1))
}

// CopyCounts returns the counts of copies so far.
func (h *Host) CopyCounts() CopyCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.copies.CopyCounts
}

// scheduleCopy has a copy of executed commands arrive later, if one is drawn. The lock is held.
func (h *Host) scheduleCopy(w *worker, commands protocol.Commands) {
	c := &h.copies
	if c.Fraction == 0 || c.rng.Float64() >= c.Fraction {
		return
	}
	time.AfterFunc(fake.CopyDelay(c.rng, c.MaxDelay), func() { h.executeCopy(w, commands) })
}

// executeCopy makes a worker execute a copy of commands, unless its machine has stopped or is
// restarting.
func (h *Host) executeCopy(w *worker, commands protocol.Commands) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.Dead || w.restarting {
		return
	}
	h.advance(w)
	h.copies.Delivered++
	h.copies.RepeatedStarts += len(w.ExecuteCopy(commands))
	w.requestHeartbeat()
}
