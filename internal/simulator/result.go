package simulator

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/record"
)

// Result is the result of a run with simulated machines.
type Result struct {
	Seed    uint64  `json:"seed"`
	Without bool    `json:"without_reservations,omitempty"`
	Days    float64 `json:"days"`

	Started  int     `json:"due"`       // occurrences whose job started
	InTime   int     `json:"in_time"`   // of these, started within a minute
	Late     int     `json:"late"`      // of the rest, not reported as at risk at their time
	AtRisk   int     `json:"at_risk"`   // of the rest, reported
	WorstS   float64 `json:"worst_s"`   // longest delay
	MedianS  float64 `json:"median_s"`  // delay
	InWindow int     `json:"in_window"` // starts on machines under maintenance
	Starts   int     `json:"starts"`
	Cost     float64 `json:"cost"`

	Rules      []string         `json:"rules"` // violations
	ShardMoves ShardMovesResult `json:"shares"`

	Classes     map[string]*Class `json:"classes"`
	Occurrences []*Occurrence     `json:"occurrences"`
	Refused     []Refusal         `json:"refused,omitempty"`
	Faults      []Fault           `json:"troubles,omitempty"`
}

// ShardMovesResult describes moves of shards. Tasks that had to start again after they ended
// within ten seconds of a move of their machine's shard are counted whatever the cause, so
// that what merely coincides with a move counts as well.
type ShardMovesResult struct {
	Moves          int     `json:"moves"`
	Aborted        int     `json:"given_up"`
	PauseP99S      float64 `json:"pause_p99_s"` // of starts on a moving shard
	StoppedByMoves int     `json:"stopped_by_moves"`
	LostByMoves    int     `json:"lost_by_moves"` // completed, and started again
}

// Class describes the jobs of a class; times are in seconds.
type Class struct {
	Jobs     int     `json:"jobs"`
	Done     int     `json:"done"`
	WaitMean float64 `json:"wait_mean_s"` // of tasks, until their first start
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
	DelayS  float64                 `json:"delay_s"` // until all reserved tasks had started
	State   record.ReservationState `json:"state,omitempty"`
	Risk    string                  `json:"risk,omitempty"` // as reported at its time
}

// Refusal is a request for a reservation or window that was rejected.
type Refusal struct {
	Name      record.EntryName   `json:"name"`
	Reason    string             `json:"reason"`
	Conflicts []record.EntryName `json:"in_the_way,omitempty"`
}

// Fault is a fault that was injected.
type Fault struct {
	At          time.Time `json:"at"`
	Description string    `json:"what"`
}

// maxDelayS is the largest delay of a reserved job that counts as in time.
const maxDelayS = 60.0

// class returns the entry of a class, which is added if necessary.
func (r *Result) class(name string) *Class {
	if r.Classes[name] == nil {
		r.Classes[name] = &Class{}
	}
	return r.Classes[name]
}

// summarize computes the summary of occurrences and classes.
func (r *Result) summarize() {
	var delays []float64
	for _, o := range r.Occurrences {
		if !o.Started {
			continue
		}
		r.Started++
		delays = append(delays, o.DelayS)
		switch {
		case o.DelayS <= maxDelayS:
			r.InTime++
		case o.Risk != "":
			r.AtRisk++
		default:
			r.Late++
		}
	}
	r.WorstS, r.MedianS = quantileOf(delays, 1), quantileOf(delays, 0.5)
	for _, c := range r.Classes {
		c.WaitMean, c.Wait95 = meanOf(c.waits), quantileOf(c.waits, 0.95)
		c.DoneMean, c.Done95 = meanOf(c.times), quantileOf(c.times, 0.95)
	}
}

// meanOf returns the mean of values; 0 of none.
func meanOf(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / math.Max(1, float64(len(xs)))
}

// quantileOf returns a quantile of values; 0 of none.
func quantileOf(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(xs))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
