package simulator

import (
	"strings"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// taskStarted checks the rules about starts.
func (w *world) taskStarted(m *fake.Worker, id protocol.TaskID, a protocol.Attempt) {
	w.starts++
	w.started(m.ID, id)
	j := w.jobs[id.Job]
	if other := w.onMachine[id]; other != nil && other != m {
		w.fail("%v ran_twice: %v starts on %s while on %s", w.now, id, m.ID, other.ID)
	}
	w.onMachine[id] = m
	w.mostOn = max(w.mostOn, len(w.onMachine))
	if at, ok := w.cancelled[id.Job]; ok && (w.now-at).Seconds() > w.settings.Site.Workers.CancelS {
		w.fail("%v ran_cancelled: %v starts on %s", w.now, id, m.ID)
	}
	if m.Spot && !j.Spot || j.Zone != "" && j.Zone != m.Zone || len(j.Types) > 0 && j.Types[0] != m.Info.Name {
		w.fail("%v wrong_place: %v on %s", w.now, id, m.ID)
	}
	var used float64
	zones := map[protocol.Zone]int{}
	for t, on := range w.onMachine {
		if k := w.jobs[t.Job]; k.Team == j.Team {
			used += k.CPUs
		}
		if t.Job == id.Job {
			zones[on.Zone]++
		}
	}
	if limit := w.limitOf(j.Team); limit > 0 && used > limit+1e-9 {
		w.fail("%v quota: %s uses %v of %v", w.now, j.Team, used, limit)
	}
	if j.OneZone && len(zones) > 1 || j.Spread && zones[m.Zone] > int(j.Tasks+1)/2 {
		w.fail("%v wrong_place: zones of %v: %v", w.now, id.Job, zones)
	}
}

func (w *world) checkRules() {
	if w.now%time.Second == 0 && len(w.order) <= 1000 { // looking at more takes long
		for _, n := range w.nodes {
			if n.core == nil {
				continue
			}
			if m := n.core.Status().Misplaced; len(m) > 0 {
				w.fail("%v %s keeps %v of shares that it does not hold", w.now, n.name, m)
			}
		}
	}
	for t := range w.onMachine {
		if at, ok := w.cancelled[t.Job]; ok && (w.now-at).Seconds() > w.settings.Site.Workers.CancelS {
			w.fail("%v ran_cancelled: %v is still on a machine", w.now, t)
		}
	}
	for ; w.checked < w.state.Changes(); w.checked++ {
		ev := w.state.Change(w.checked)
		key, ours := strings.CutPrefix(ev.Put+ev.Delete, record.JobKey(""))
		if !ours {
			continue
		}
		id := protocol.JobID(key)
		if ev.Put == "" {
			w.fail("%v forgotten: %v", w.now, id)
		}
		var r record.JobRecord
		if err := protocol.Decode(ev.Value, &r); err != nil {
			w.fail("%v", err)
		}
		if was := w.final[id]; was != "" && was != r.State {
			w.fail("%v went_back: %v from %s to %s", w.now, id, was, r.State)
		}
		if r.State == record.RecordLive || w.final[id] != "" {
			continue
		}
		w.final[id] = r.State
		j := w.jobs[id]
		for i := range j.Tasks {
			if r.State == record.RecordDone && !w.results[protocol.TaskID{Job: id, Index: i}] {
				if j.Kind == protocol.KindGang && w.results[protocol.TaskID{Job: id}] {
					continue
				}
				w.fail("%v not_done: %v/%d", w.now, id, i)
			}
		}
	}
}
