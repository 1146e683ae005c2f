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

// TestUserChecksDetectInjectedFaults tests that each check of the answers to users and of
// waiting jobs detects the fault that is injected for it.
func TestUserChecksDetectInjectedFaults(t *testing.T) {
	second := time.Second
	useSpreadRunTimes := func(u *users) { u.runTime = u.drawSpreadRunTime }
	status := func(s protocol.JobState) func(id protocol.JobID) admission.Answer {
		return func(id protocol.JobID) admission.Answer {
			body, err := protocol.Encode(protocol.JobStatus{ID: id, State: s})
			if err != nil {
				t.Fatal(err)
			}
			return admission.Answer{Status: 200, Body: body}
		}
	}
	changeAnswers := func(answer func(protocol.JobID) admission.Answer, when func(*userJob) bool) func(*users) {
		return func(u *users) {
			useSpreadRunTimes(u)
			u.changeAnswer = func(j *userJob, a admission.Answer) admission.Answer {
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
	isLive := func(j *userJob) bool { return j.accepted && j.rejectStatus == 0 && j.rank < rankFinal }
	isFinal := func(j *userJob) bool { return j.rank == rankFinal }
	for name, injected := range map[string]struct {
		scenario userScenario
		want     string
	}{
		"live after a final answer":   {userScenario{prepare: changeAnswers(status(protocol.JobQueued), isFinal), requestOften: true}, "went_back"},
		"cancelled without a request": {userScenario{prepare: changeAnswers(status(protocol.JobCancelled), isLive)}, "went_back"},
		"done before its tasks are":   {userScenario{prepare: changeAnswers(status(protocol.JobDone), isLive)}, "not_done"},
		"unknown although accepted":   {userScenario{prepare: changeAnswers(refusal(404), isLive)}, "forgotten"},
		"refused although accepted":   {userScenario{prepare: changeAnswers(refusal(422), isLive), requestOften: true}, "forgotten"},
		"malformed although accepted": {userScenario{prepare: changeAnswers(refusal(400), isLive), requestOften: true}, "forgotten"},
		"accepted although invalid":   {userScenario{prepare: changeAnswers(status(protocol.JobQueued), func(j *userJob) bool { return j.rejectStatus != 0 })}, "invented"},
		"503 without Retry-After":     {userScenario{prepare: changeAnswers(func(protocol.JobID) admission.Answer { return admission.Answer{Status: 503} }, isLive)}, "no Retry-After"},
		"no answer after all faults have ended": {userScenario{prepare: func(u *users) {
			u.runTime = func(protocol.TaskID) time.Duration { return 5 * time.Minute }
			u.changeAnswer = func(_ *userJob, a admission.Answer) admission.Answer {
				if u.faultFreeSince != 0 {
					return admission.Failure(503, "no")
				}
				return a
			}
		}}, "forgotten: no request"},
		"in the records although invalid": {userScenario{prepare: func(u *users) {
			u.after(10*second, func() {
				for _, j := range u.jobs {
					if j.rejectStatus != 0 {
						u.state.Execute(protocol.Transaction{Changes: []protocol.Change{{Put: record.JobKey(j.id), Value: record.JobRecord{State: record.RecordLive, Tasks: 1}}}})
						return
					}
				}
			})
		}}, "record of an invalid"},
		"left waiting beside a free machine": {userScenario{prepare: func(u *users) {
			// From the end of the scenario on no controller runs, so a job that was just
			// accepted waits.
			u.after(59*second, func() {
				for _, n := range u.nodes {
					n.crashFor(time.Hour)
				}
				j := protocol.Job{ID: "job-999999", Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, Spot: true}
				u.world.jobs[j.ID], u.jobs[j.ID] = j, &userJob{id: j.ID, job: j, accepted: true}
			})
		}}, "left waiting"},
		"starts after a confirmed cancellation": {userScenario{cancelFraction: 0.6, prepare: func(u *users) {
			u.dropCancellations, u.requestOften = true, true
			u.watchLag = second
		}, atEnd: func(u *users) {
			if u.startsAfterCancellation > 0 {
				u.fail("started after a confirmed cancellation")
			}
		}}, "started after"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var violations []string
			for seed := 0; seed < 6 && len(violations) == 0; seed++ {
				d := injected.scenario
				d.machines, d.duration, d.job, d.interval = 9, 60*second, (*world).randomJob, second/2
				d.cancelFraction = max(d.cancelFraction, 0.2)
				d.fail = func(format string, args ...any) {
					if violation := fmt.Sprintf(format, args...); strings.Contains(violation, injected.want) {
						violations = append(violations, violation)
					}
				}
				d.run(t, 1_400_000+seed)
			}
			if len(violations) == 0 {
				t.Errorf("no check has reported %q", injected.want)
			}
		})
	}
}
