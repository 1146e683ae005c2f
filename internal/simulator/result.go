package simulator

import (
	"math"
	"slices"
	"time"

	"damsonkeel/internal/record"
)

// Result is the result of a run. Times are in seconds; the JSON names are those of the
// command's output. Starts, Cost and Classes include the warm-up.
type Result struct {
	Seed                uint64  `json:"seed"`
	WithoutReservations bool    `json:"without_reservations,omitempty"`
	Days                float64 `json:"days"`

	Started         int     `json:"due"`       // occurrences of reservations all of whose reserved tasks have started
	InTime          int     `json:"in_time"`   // of Started, with a delay of at most a minute
	Late            int     `json:"late"`      // of the others, not reported as at risk one second after their start
	AtRisk          int     `json:"at_risk"`   // of the others, reported as at risk one second after their start
	WorstS          float64 `json:"worst_s"`   // longest delay of an occurrence
	MedianS         float64 `json:"median_s"`  // median delay of the occurrences
	StartsInWindows int     `json:"in_window"` // starts of tasks on machines in a maintenance window
	Starts          int     `json:"starts"`    // starts of tasks
	Cost            float64 `json:"cost"`      // of all machines, from their request until their termination or the end of the run

	Violations []string         `json:"rules"` // violations of rules, at most maxViolations
	ShardMoves ShardMovesResult `json:"shares"`

	Classes     map[string]*Class `json:"classes"`
	Occurrences []*Occurrence     `json:"occurrences"`
	Refused     []Refusal         `json:"refused,omitempty"`
	Faults      []Fault           `json:"troubles,omitempty"`
}

// ShardMovesResult describes moves of shards. StoppedByMoves and LostByMoves count each task
// that ended within ten seconds after a move of its machine's shard and was started again,
// whatever the cause, so they include endings that merely coincide with a move.
type ShardMovesResult struct {
	Moves          int     `json:"moves"`
	Aborted        int     `json:"given_up"`
	PauseP99S      float64 `json:"pause_p99_s"` // 99th percentile of the pause of starts on a moving shard
	StoppedByMoves int     `json:"stopped_by_moves"`
	LostByMoves    int     `json:"lost_by_moves"` // tasks that had completed and were started again
}

// Class summarizes the jobs of a class; times are in seconds.
type Class struct {
	Jobs            int     `json:"jobs"`
	Done            int     `json:"done"`
	WaitMeanS       float64 `json:"wait_mean_s"` // of tasks, from submission to their first start
	WaitP95S        float64 `json:"wait_p95_s"`
	DoneMeanS       float64 `json:"done_mean_s"` // of jobs, from submission to completion
	DoneP95S        float64 `json:"done_p95_s"`
	waits           []float64
	completionTimes []float64
}

// Occurrence is one occurrence of a reservation.
type Occurrence struct {
	Name    record.EntryName        `json:"name"`
	Start   time.Time               `json:"start"`
	Tasks   int                     `json:"tasks"`
	Started bool                    `json:"started"`
	DelayS  float64                 `json:"delay_s"` // until all reserved tasks had started; see taskStarted
	State   record.ReservationState `json:"state,omitempty"`
	Risk    string                  `json:"risk,omitempty"` // risk that a controller reported one second after the start; empty if none
}

// Refusal is a rejected request for a reservation or a maintenance window.
type Refusal struct {
	Name      record.EntryName   `json:"name"`
	Reason    string             `json:"reason"`
	Conflicts []record.EntryName `json:"in_the_way,omitempty"`
}

// Fault is the time and the type of a fault that was injected.
type Fault struct {
	At          time.Time `json:"at"`
	Description string    `json:"what"`
}

// maxInTimeDelayS is the largest delay, in seconds, with which an occurrence counts as in
// time.
const maxInTimeDelayS = 60.0

// class returns the summary of the class with a name; it adds an empty one if there is none.
func (r *Result) class(name string) *Class {
	if r.Classes[name] == nil {
		r.Classes[name] = &Class{}
	}
	return r.Classes[name]
}

// summarize computes the counts and delays of the occurrences, and the means and 95th
// percentiles of each class, from the data collected during the run.
func (r *Result) summarize() {
	var delays []float64
	for _, o := range r.Occurrences {
		if !o.Started {
			continue
		}
		r.Started++
		delays = append(delays, o.DelayS)
		switch {
		case o.DelayS <= maxInTimeDelayS:
			r.InTime++
		case o.Risk != "":
			r.AtRisk++
		default:
			r.Late++
		}
	}
	r.WorstS, r.MedianS = quantileOf(delays, 1), quantileOf(delays, 0.5)
	for _, c := range r.Classes {
		c.WaitMeanS, c.WaitP95S = meanOf(c.waits), quantileOf(c.waits, 0.95)
		c.DoneMeanS, c.DoneP95S = meanOf(c.completionTimes), quantileOf(c.completionTimes, 0.95)
	}
}

// meanOf returns the mean of values; 0 if there are none.
func meanOf(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / math.Max(1, float64(len(xs)))
}

// quantileOf returns the quantile q, from 0 to 1, of values; 0 if there are none.
func quantileOf(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(xs))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
