package scale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/scale/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HubFigures are what is reckoned from what workers and users saw.
type HubFigures struct {
	Rules       []rules.Violation
	Starts      int
	StartsPeakS int
	RunningPeak int
	Classes     map[string]Waits // from submission to the start, by task; "all": of all
	UrgentJobs  Waits            // until all tasks of a job run
	// Calm are urgent jobs beside no trouble whose team's limit left them room, and
	// CalmAtLimit those whose did not.
	Calm, CalmAtLimit UrgentSpell
	Urgent            UrgentStages
	Timeline          []TimelinePoint
	State             StateFigures
	Troubles          []TroubleFigures
}

// StateFigures are what the state service held and served.
type StateFigures struct {
	Records int               `json:"records"`
	Bytes   int               `json:"bytes"`
	PeakS   map[string]uint64 `json:"peak_s"` // busiest second of each kind
}

// TroubleFigures tell how long a trouble was felt, in seconds from its end.
type TroubleFigures struct {
	Kind TroubleKind `json:"kind"`
	AtS  float64     `json:"at_s"`
	ForS float64     `json:"for_s"`
	// HeardS is until each worker's report was answered again; StartsBackS until nine
	// tenths as many tasks started again as before. -1: not before the run's end.
	HeardS      float64 `json:"heard_s"`
	StartsBackS float64 `json:"starts_back_s"`
	// Urgent are the urgent jobs that were submitted from its beginning until a while
	// after its end, and whose team's limit left them room. Troubles overlap: a job may
	// count for several.
	Urgent UrgentSpell `json:"urgent"`
}

// UrgentSpell tells how long urgent jobs of a spell waited for all of their tasks.
type UrgentSpell struct {
	Jobs   int     `json:"jobs"`
	InTime float64 `json:"in_time"` // part that waited at most urgentWithin
	P99S   float64 `json:"p99_s"`
	WorstS float64 `json:"worst_s"`
}

// urgentWait is how long an urgent job waited.
type urgentWait struct {
	submitted, wait time.Duration
	// atLimit: its team's limit left no room for it when it was submitted.
	atLimit bool
}

const (
	// urgentWithin is the time within which urgent jobs are to start.
	urgentWithin = 2400 * time.Millisecond
	// feltAfter is how long after its end a trouble counts for jobs that are submitted.
	feltAfter = 20 * time.Second
)

// spellOf sums up the urgent jobs that were submitted while something holds.
func spellOf(waits []urgentWait, holds func(urgentWait) bool) UrgentSpell {
	hist, inTime := newHistogram(), 0
	for _, w := range waits {
		if !holds(w) {
			continue
		}
		observe(hist, w.wait)
		if w.wait <= urgentWithin {
			inTime++
		}
	}
	jobs := int(hist.TotalCount())
	return UrgentSpell{Jobs: jobs, InTime: float64(inTime) / float64(max(1, jobs)), P99S: quantileS(hist, 99), WorstS: quantileS(hist, 100)}
}

// felt reports whether a trouble counts for what is submitted at a time.
func (t *trackedTrouble) felt(w urgentWait) bool {
	return w.submitted >= t.begun && w.submitted <= t.ended+feltAfter
}

const (
	// urgentClass is the class whose jobs are to start at once.
	urgentClass = "urgent"
	// allClasses names the waits of all tasks.
	allClasses = "all"
	// startsWindow is the time over which starts are compared, and startsBack the part
	// that has to be back.
	startsWindow = 5 * time.Second
	startsBack   = 0.9
	// neverAgain stands for what did not come before the end.
	neverAgain = -1
	// unfinishedGrace is how long before the end jobs have to be submitted to count as
	// not begun.
	unfinishedGrace = 10 * time.Second
)

// figures reckons from all that was seen.
func (h *Hub) figures() *HubFigures {
	h.mu.Lock()
	defer h.mu.Unlock()
	terms := rules.Requirements{CancelGraceS: h.site.Timings.CancelS, LimitChanges: h.limits, LimitGraceS: config.ConfiguredWithin.Seconds()}
	for _, t := range siteSettings(h.site).Teams {
		terms.Teams = append(terms.Teams, rules.Team{Name: t.Name, MaxCPUs: t.MaxCPUs})
	}
	out := &HubFigures{Rules: rules.Check(terms, h.events, h.users)}
	starts := startTimes(h.events)
	out.Starts = len(starts)
	out.StartsPeakS = peakPerSecond(starts)
	out.RunningPeak = runningPeak(h.events)
	var urgent []urgentWait
	out.Classes, urgent = h.waits()
	hist := newHistogram()
	for _, w := range urgent {
		observe(hist, w.wait)
	}
	out.UrgentJobs = waitsOf(hist)
	calm := func(w urgentWait) bool {
		return !slices.ContainsFunc(h.troubles, func(t *trackedTrouble) bool { return t.felt(w) })
	}
	out.Calm = spellOf(urgent, func(w urgentWait) bool { return calm(w) && !w.atLimit })
	out.CalmAtLimit = spellOf(urgent, func(w urgentWait) bool { return calm(w) && w.atLimit })
	out.Urgent = h.urgentStages()
	out.Timeline = h.timeline()
	for i := range h.troubles {
		h.troubles[i].figures.Urgent = spellOf(urgent, func(w urgentWait) bool { return h.troubles[i].felt(w) && !w.atLimit })
		h.troubles[i].figures.StartsBackS = startsBackAfter(starts, h.troubles[i].begun, h.troubles[i].ended)
		out.Troubles = append(out.Troubles, h.troubles[i].figures)
	}
	return out
}

// startTimes lists when tasks came onto machines, in order.
func startTimes(events []rules.MachineEvent) []time.Duration {
	var at []time.Duration
	for _, e := range events {
		if e.Kind == rules.TaskStarted {
			at = append(at, e.At)
		}
	}
	slices.Sort(at)
	return at
}

// peakPerSecond is how many of the times fall into one second at the most.
func peakPerSecond(at []time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// runningPeak is how many tasks were on machines at the most.
func runningPeak(events []rules.MachineEvent) int {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b rules.MachineEvent) int { return cmp.Compare(a.At, b.At) })
	count, most := newTracker(), 0
	for _, e := range sorted {
		count.take(e)
		most = max(most, count.running())
	}
	return most
}

// submissions are the jobs that were not cancelled, by when they were submitted, and
// when the last answer of all came.
func (h *Hub) submissions() (at map[protocol.JobID]time.Duration, end time.Duration) {
	at = map[protocol.JobID]time.Duration{}
	cancelled := map[protocol.JobID]bool{}
	for _, e := range h.users {
		end = max(end, e.AnsweredAt)
		switch e.Kind {
		case rules.UserDescribes:
			at[e.Job] = e.RequestedAt
		case rules.UserCancels:
			cancelled[e.Job] = true
		}
	}
	maps.DeleteFunc(at, func(id protocol.JobID, _ time.Duration) bool { return cancelled[id] })
	return at, end
}

// waits reckons how long tasks waited for their first start, by class, and how long
// urgent jobs waited for all of their tasks. A task that has not begun has waited until
// the end, at the least, unless its job came shortly before that.
func (h *Hub) waits() (map[string]Waits, []urgentWait) {
	submitted, end := h.submissions()
	first, atLimit := h.firstStarts(), h.atLimit()
	classes := map[string]*hdrhistogram.Histogram{}
	var urgent []urgentWait
	for id, at := range submitted {
		job := h.jobs[id]
		if classes[job.Class] == nil {
			classes[job.Class] = newHistogram()
		}
		longest := time.Duration(-1)
		for i := range job.Tasks {
			start, begun := first[protocol.TaskID{Job: id, Index: i}]
			if !begun && at > end-unfinishedGrace {
				continue
			}
			if !begun {
				start = end
			}
			longest = max(longest, start-at)
			observe(classes[job.Class], start-at)
		}
		if job.Class == urgentClass && longest >= 0 {
			urgent = append(urgent, urgentWait{at, longest, atLimit[id]})
		}
	}
	return summed(classes), urgent
}

// summed are the waits of each class, and of all.
func summed(classes map[string]*hdrhistogram.Histogram) map[string]Waits {
	out := map[string]Waits{}
	all := newHistogram()
	for name, hist := range classes {
		out[name] = waitsOf(hist)
		all.Merge(hist)
	}
	out[allClasses] = waitsOf(all)
	return out
}

// firstStarts is when each task first ran; tasks of a gang run once it is complete.
func (h *Hub) firstStarts() map[protocol.TaskID]time.Duration {
	first := map[protocol.TaskID]time.Duration{}
	note := func(task protocol.TaskID, at time.Duration) {
		if was, ok := first[task]; !ok || at < was {
			first[task] = at
		}
	}
	for _, e := range h.events {
		job := h.jobs[e.Task.Job]
		isGang := job.Kind == protocol.KindGang && job.Tasks > 1
		switch {
		case e.Kind == rules.TaskStarted && !isGang:
			note(e.Task, e.At)
		case e.Kind == rules.GangRunning:
			for i := range job.Tasks {
				note(protocol.TaskID{Job: job.ID, Index: i}, e.At)
			}
		}
	}
	return first
}

// startsBackAfter is how long after a trouble's end as many tasks started again as
// before it; neverAgain if they did not.
func startsBackAfter(starts []time.Duration, begun, ended time.Duration) float64 {
	if len(starts) == 0 {
		return neverAgain
	}
	want := startsBack * float64(startsIn(starts, begun-startsWindow, begun))
	for at := ended; at <= starts[len(starts)-1]; at += time.Second {
		if float64(startsIn(starts, at, at+startsWindow)) >= want {
			return math.Round((at-ended).Seconds()*10) / 10
		}
	}
	return neverAgain
}

// startsIn counts the times from one moment until before another.
func startsIn(starts []time.Duration, from, until time.Duration) int {
	first, _ := slices.BinarySearch(starts, from)
	last, _ := slices.BinarySearch(starts, until)
	return last - first
}
