package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/controller/admission"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestWatchersSee: each check on what users are told, and on what is left waiting, finds
// a fault that is planted for it.
func TestWatchersSee(t *testing.T) {
	second := time.Second
	long := func(u *users) { u.runTime = u.farApart }
	status := func(s protocol.JobState) func(id protocol.JobID) admission.Answer {
		return func(id protocol.JobID) admission.Answer {
			body, err := protocol.Encode(protocol.JobStatus{ID: id, State: s})
			if err != nil {
				t.Fatal(err)
			}
			return admission.Answer{Status: 200, Body: body}
		}
	}
	says := func(answer func(protocol.JobID) admission.Answer, when func(*userJob) bool) func(*users) {
		return func(u *users) {
			long(u)
			u.tells = func(j *userJob, a admission.Answer) admission.Answer {
				if when(j) && u.rng.IntN(5) == 0 {
					return answer(j.id)
				}
				return a
			}
		}
	}
	refusal := func(status int) func(protocol.JobID) admission.Answer {
		return func(protocol.JobID) admission.Answer { return admission.Failure(status, "no") }
	}
	live := func(j *userJob) bool { return j.accepted && j.bad == 0 && j.floor < over }
	ended := func(j *userJob) bool { return j.floor == over }
	for name, plant := range map[string]struct {
		day  userDay
		want string
	}{
		"live after it was over":      {userDay{prepare: says(status(protocol.JobQueued), ended), closely: true}, "went_back"},
		"cancelled by nobody":         {userDay{prepare: says(status(protocol.JobCancelled), live)}, "went_back"},
		"done before its tasks are":   {userDay{prepare: says(status(protocol.JobDone), live)}, "not_done"},
		"not known though accepted":   {userDay{prepare: says(refusal(404), live)}, "forgotten"},
		"refused though accepted":     {userDay{prepare: says(refusal(422), live), closely: true}, "forgotten"},
		"malformed though accepted":   {userDay{prepare: says(refusal(400), live), closely: true}, "forgotten"},
		"accepted though it can't be": {userDay{prepare: says(status(protocol.JobQueued), func(j *userJob) bool { return j.bad != 0 })}, "invented"},
		"no word when to come back":   {userDay{prepare: says(func(protocol.JobID) admission.Answer { return admission.Answer{Status: 503} }, live)}, "no Retry-After"},
		"never answered once all is well": {userDay{prepare: func(u *users) {
			u.runTime = func(protocol.TaskID) time.Duration { return 5 * time.Minute }
			u.tells = func(_ *userJob, a admission.Answer) admission.Answer {
				if u.wellSince != 0 {
					return admission.Failure(503, "no")
				}
				return a
			}
		}}, "forgotten: no question"},
		"in the records though it can't run": {userDay{prepare: func(u *users) {
			u.after(10*second, func() {
				for _, j := range u.jobs {
					if j.bad != 0 {
						u.state.Txn(protocol.Transaction{Changes: []protocol.Change{{Put: record.JobKey(j.id), Value: record.JobRecord{State: record.RecordLive, Tasks: 1}}}})
						return
					}
				}
			})
		}}, "accepted though"},
		"left waiting": {userDay{prepare: func(u *users) {
			// From the end of the day on nobody owns anything: jobs just accepted wait.
			u.after(59*second, func() {
				for _, n := range u.nodes {
					n.crashFor(time.Hour)
				}
				j := protocol.Job{ID: "job-999999", Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, Spot: true}
				u.world.jobs[j.ID], u.jobs[j.ID] = j, &userJob{id: j.ID, job: j, accepted: true}
			})
		}}, "left waiting"},
		"starts after a confirmed cancellation": {userDay{cancels: 0.6, prepare: func(u *users) {
			u.unheard, u.closely = true, true
			u.watchLag = second
		}, atEnd: func(u *users) {
			if u.startsAfter > u.apart {
				u.fail("started after the confirmation")
			}
		}}, "started after"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var seen []string
			for seed := 0; seed < 6 && len(seen) == 0; seed++ {
				d := plant.day
				d.machines, d.lasts, d.job, d.every = 9, 60*second, (*world).randomJob, second/2
				d.cancels = max(d.cancels, 0.2)
				d.fail = func(format string, args ...any) {
					if what := fmt.Sprintf(format, args...); strings.Contains(what, plant.want) {
						seen = append(seen, what)
					}
				}
				d.play(t, 1_400_000+seed)
			}
			if len(seen) == 0 {
				t.Errorf("nobody has seen %q", plant.want)
			}
		})
	}
}
