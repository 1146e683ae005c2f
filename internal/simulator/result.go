package simulator

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/record"
)

// Result is what became of a site that was played, with simulated machines.
type Result struct {
	Seed    uint64  `json:"seed"`
	Without bool    `json:"without_reservations,omitempty"`
	Days    float64 `json:"days"`

	Due      int     `json:"due"`       // occurrences whose job came
	InTime   int     `json:"in_time"`   // of these, started within a minute
	Late     int     `json:"late"`      // the rest, not reported as at risk at its time
	AtRisk   int     `json:"at_risk"`   // the rest, reported
	WorstS   float64 `json:"worst_s"`   // the longest delay of any
	MedianS  float64 `json:"median_s"`  // delay
	InWindow int     `json:"in_window"` // starts where a window was open
	Starts   int     `json:"starts"`
	Cost     float64 `json:"cost"`

	Rules  []string     `json:"rules"` // that were broken
	Shares SharesResult `json:"shares"`

	Classes     map[string]*Class `json:"classes"`
	Occurrences []*Occurrence     `json:"occurrences"`
	Refused     []Refusal         `json:"refused,omitempty"`
	Troubles    []Trouble         `json:"troubles,omitempty"`
}

// SharesResult is what became of moves of shares. Tasks that had to start again
// within ten seconds of a move of their machine's share are counted whatever they
// ended for, so what a move merely coincides with counts as well.
type SharesResult struct {
	Moves          int     `json:"moves"`
	GivenUp        int     `json:"given_up"`
	PauseP99S      float64 `json:"pause_p99_s"` // of starts on a share that moves
	StoppedByMoves int     `json:"stopped_by_moves"`
	LostByMoves    int     `json:"lost_by_moves"` // done, and begun again
}

// Class is what became of the jobs of a class; times are in seconds.
type Class struct {
	Jobs     int     `json:"jobs"`
	Done     int     `json:"done"`
	WaitMean float64 `json:"wait_mean_s"` // of tasks, until they start
	Wait95   float64 `json:"wait_p95_s"`
	DoneMean float64 `json:"done_mean_s"` // of jobs, until they are done
	Done95   float64 `json:"done_p95_s"`
	waits    []float64
	times    []float64
}

// Occurrence is one time of a reservation.
type Occurrence struct {
	Name    record.EntryName        `json:"name"`
	Start   time.Time               `json:"start"`
	Tasks   int                     `json:"tasks"`
	Started bool                    `json:"started"`
	DelayS  float64                 `json:"delay_s"` // until all that is reserved had started
	State   record.ReservationState `json:"state,omitempty"`
	Risk    string                  `json:"risk,omitempty"` // as reported at its time
}

// Refusal is what could not be promised.
type Refusal struct {
	Name     record.EntryName   `json:"name"`
	Reason   string             `json:"reason"`
	InTheWay []record.EntryName `json:"in_the_way,omitempty"`
}

// Trouble is what happened.
type Trouble struct {
	At   time.Time `json:"at"`
	What string    `json:"what"`
}

// inTime is how late a reserved job may start.
const inTime = 60.0

func (r *Result) sum() {
	var delays []float64
	for _, o := range r.Occurrences {
		if !o.Started {
			continue
		}
		r.Due++
		delays = append(delays, o.DelayS)
		switch {
		case o.DelayS <= inTime:
			r.InTime++
		case o.Risk != "":
			r.AtRisk++
		default:
			r.Late++
		}
	}
	r.WorstS, r.MedianS = quantileOf(delays, 1), quantileOf(delays, 0.5)
	for _, c := range r.Classes {
		c.WaitMean, c.Wait95 = mean(c.waits), quantileOf(c.waits, 0.95)
		c.DoneMean, c.Done95 = mean(c.times), quantileOf(c.times, 0.95)
	}
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / math.Max(1, float64(len(xs)))
}

func quantileOf(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(xs))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
