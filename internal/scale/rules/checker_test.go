package rules

import (
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

const second = time.Second

// scenario is the recorded events of a run.
type scenario struct {
	machines []MachineEvent
	users    []UserEvent
}

func taskID(job protocol.JobID, index uint32) protocol.TaskID {
	return protocol.TaskID{Job: job, Index: index}
}

func (s *scenario) machineUp(machine protocol.MachineID, zone protocol.Zone) {
	s.machines = append(s.machines, MachineEvent{At: 0, Kind: MachineUp, Machine: machine, Type: "m8", Zone: zone})
}

func (s *scenario) taskStarted(at time.Duration, machine protocol.MachineID, id protocol.TaskID) {
	s.machines = append(s.machines, MachineEvent{At: at, Kind: TaskStarted, Machine: machine, Task: id})
}

func (s *scenario) taskEnded(at time.Duration, machine protocol.MachineID, id protocol.TaskID, cause protocol.EndCause) {
	s.machines = append(s.machines, MachineEvent{At: at, Kind: TaskEnded, Machine: machine, Task: id, Cause: cause})
}

func (s *scenario) request(at time.Duration, kind UserEventKind, job protocol.JobID, status int, state protocol.JobState) {
	s.users = append(s.users, UserEvent{RequestedAt: at, AnsweredAt: at + second/10, Kind: kind, Job: job, Status: status, State: state})
}

func (s *scenario) describe(job protocol.Job) {
	s.users = append(s.users, UserEvent{Kind: UserDescribes, Job: job.ID, Description: job})
	s.request(second, UserSubmits, job.ID, 201, protocol.JobQueued)
}

// validScenario returns a run that breaks no rule: one array of two tasks, one gang and one
// job that is cancelled in time.
func validScenario() *scenario {
	s := &scenario{}
	s.machineUp("a1", "a")
	s.machineUp("a2", "a")
	s.machineUp("b1", "b")
	s.describe(protocol.Job{ID: "job-array", Kind: protocol.KindJobArray, Team: "bound", Tasks: 2, CPUs: 4, Zone: "a", Types: []protocol.MachineType{"m8"}})
	s.describe(protocol.Job{ID: "job-gang", Kind: protocol.KindGang, Team: "free", Tasks: 2, CPUs: 1, OneZone: true})
	s.describe(protocol.Job{ID: "job-off", Kind: protocol.KindJobArray, Team: "free", Tasks: 1, CPUs: 1})
	s.taskStarted(2*second, "a1", taskID("job-array", 0))
	s.taskStarted(2*second, "a2", taskID("job-array", 1))
	s.taskEnded(9*second, "a1", taskID("job-array", 0), protocol.EndStopped)
	s.taskStarted(9*second, "a2", taskID("job-array", 0))
	s.taskEnded(20*second, "a2", taskID("job-array", 0), protocol.EndDone)
	s.taskEnded(20*second, "a2", taskID("job-array", 1), protocol.EndDone)
	s.taskStarted(3*second, "b1", taskID("job-gang", 0))
	s.taskStarted(4*second, "b1", taskID("job-gang", 1))
	s.taskEnded(15*second, "b1", taskID("job-gang", 0), protocol.EndDone)
	s.taskEnded(15*second, "b1", taskID("job-gang", 1), protocol.EndGangLost)
	s.taskStarted(3*second, "a1", taskID("job-off", 0))
	s.request(10*second, UserCancels, "job-off", 200, protocol.JobCancelled)
	s.taskEnded(30*second, "a1", taskID("job-off", 0), protocol.EndStopped)
	s.request(25*second, UserPolls, "job-array", 200, protocol.JobDone)
	s.request(25*second, UserPolls, "job-gang", 200, protocol.JobDone)
	s.request(12*second, UserPolls, "job-nobody", 404, "")
	return s
}

// TestCheckFindsInjectedViolations checks that a valid run breaks no rule, and that each
// violation injected into it is found.
func TestCheckFindsInjectedViolations(t *testing.T) {
	requirements := Requirements{Teams: []Team{{"bound", 8}, {"free", 0}}, CancelGraceS: 40}
	cases := map[string]struct {
		rule   Rule
		inject func(*scenario)
	}{
		"no violation":                           {"", func(*scenario) {}},
		"started twice":                          {RuleRanTwice, func(s *scenario) { s.taskStarted(5*second, "b1", taskID("job-off", 0)) }},
		"started just before the other run ends": {RuleRanTwice, func(s *scenario) { s.taskStarted(9*second-1, "a2", taskID("job-array", 0)) }},
		"team over its limit": {RuleQuota, func(s *scenario) {
			s.describe(protocol.Job{ID: "job-more", Kind: protocol.KindJobArray, Team: "bound", Tasks: 1, CPUs: 0.5})
			s.taskStarted(5*second, "b1", taskID("job-more", 0))
		}},
		"started in an excluded zone": {RuleWrongPlace, func(s *scenario) { s.taskStarted(40*second, "b1", taskID("job-array", 0)) }},
		"started on an excluded machine type": {RuleWrongPlace, func(s *scenario) {
			s.machines = append(s.machines, MachineEvent{Kind: MachineUp, Machine: "a3", Type: "m16", Zone: "a"})
			s.taskStarted(40*second, "a3", taskID("job-array", 0))
		}},
		"spread job in one zone": {RuleWrongPlace, func(s *scenario) {
			s.describe(protocol.Job{ID: "job-spread", Kind: protocol.KindJobArray, Team: "free", Tasks: 3, CPUs: 1, Spread: true})
			for i := range uint32(3) {
				s.taskStarted(40*second, "a1", taskID("job-spread", i))
			}
		}},
		"gang in two zones": {RuleWrongPlace, func(s *scenario) { s.taskStarted(5*second, "a1", taskID("job-gang", 1)) }},
		"cancelled, but keeps running": {RuleRanCancelled, func(s *scenario) {
			s.taskStarted(31*second, "a1", taskID("job-off", 0))
			s.taskStarted(55*second, "a1", taskID("job-gang", 0))
		}},
		"cancelled, but starts again": {RuleRanCancelled, func(s *scenario) {
			s.taskStarted(51*second, "a2", taskID("job-off", 0))
			s.taskEnded(52*second, "a2", taskID("job-off", 0), protocol.EndStopped)
		}},
		"accepted, then not found":     {RuleForgotten, func(s *scenario) { s.request(5*second, UserPolls, "job-array", 404, "") }},
		"accepted, then rejected":      {RuleForgotten, func(s *scenario) { s.request(5*second, UserSubmits, "job-array", 422, "") }},
		"reported but never submitted": {RuleInvented, func(s *scenario) { s.request(5*second, UserPolls, "job-nobody", 200, protocol.JobQueued) }},
		"reported as done too early":   {RuleNotDone, func(s *scenario) { s.request(8*second, UserPolls, "job-array", 200, protocol.JobDone) }},
		"done, then running":           {RuleWentBack, func(s *scenario) { s.request(30*second, UserPolls, "job-array", 200, protocol.JobRunning) }},
		"cancelled, then running":      {RuleWentBack, func(s *scenario) { s.request(11*second, UserPolls, "job-off", 200, protocol.JobRunning) }},
		"cancelled without a request":  {RuleWentBack, func(s *scenario) { s.request(5*second, UserPolls, "job-array", 200, protocol.JobCancelled) }},
		"no poll of a job is answered": {RuleForgotten, func(s *scenario) {
			for at := 30 * second; at < 130*second; at += 5 * second {
				s.request(at, UserPolls, "job-gang", 503, "")
				s.request(at, UserPolls, "job-array", 200, protocol.JobDone)
				s.request(at+second, UserPolls, "job-array", 200, protocol.JobDone)
			}
		}},
		"no task ran": {RuleNothingRan, func(s *scenario) { s.machines, s.users = nil, nil }},
	}
	for name, c := range cases {
		s := validScenario()
		c.inject(s)
		found := Check(requirements, s.machines, s.users)
		if c.rule == "" && len(found) > 0 {
			t.Errorf("%s: %v", name, found)
		}
		if c.rule != "" && !slices.ContainsFunc(found, func(v Violation) bool { return v.Rule == c.rule }) {
			t.Errorf("%s: %s not found: %v", name, c.rule, found)
		}
	}
}

// TestStartsAreCheckedAgainstChangedLimits checks that a start is compared with the limits that
// may have been in force when it was ordered.
func TestStartsAreCheckedAgainstChangedLimits(t *testing.T) {
	requirements := Requirements{Teams: []Team{{"bound", 8}}, CancelGraceS: 40, LimitGraceS: 11, LimitChanges: []LimitChange{
		{RequestedAt: 40 * second, AnsweredAt: 41 * second, Team: "bound", MaxCPUs: 4},
		{RequestedAt: 90 * second, AnsweredAt: 91 * second, Team: "bound", MaxCPUs: 12},
	}}
	for at, violated := range map[time.Duration]bool{30 * second: false, 50 * second: false, 53 * second: true, 80 * second: true, 90 * second: false} {
		s := &scenario{}
		s.machineUp("a1", "a")
		s.describe(protocol.Job{ID: "job-1", Kind: protocol.KindJobArray, Team: "bound", Tasks: 2, CPUs: 4})
		s.taskStarted(at-second/2, "a1", taskID("job-1", 0))
		s.machines = append(s.machines, MachineEvent{At: at, Kind: TaskStartAccepted, Machine: "a1", Task: taskID("job-1", 1)})
		s.taskStarted(at+second/2, "a1", taskID("job-1", 1))
		found := Check(requirements, s.machines, s.users)
		if got := len(found) > 0; got != violated {
			t.Errorf("start ordered at %v: wrong violations: %v", at, found)
		}
	}
}

// TestConcurrentAnswersMayArriveReordered checks that an answer is only compared with answers
// that arrived before its request was sent.
func TestConcurrentAnswersMayArriveReordered(t *testing.T) {
	s := validScenario()
	s.users = append(s.users, UserEvent{RequestedAt: 25 * second, AnsweredAt: 26 * second, Kind: UserPolls, Job: "job-array", Status: 200, State: protocol.JobRunning})
	if found := Check(Requirements{CancelGraceS: 40}, s.machines, s.users); len(found) > 0 {
		t.Error(found)
	}
}
