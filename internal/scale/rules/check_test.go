package rules

import (
	"slices"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

const second = time.Second

// story is a run in which nothing is wrong: one array of two tasks, one gang and one
// job that is cancelled in time.
type story struct {
	machines []MachineEvent
	users    []UserEvent
}

func task(job protocol.JobID, index uint32) protocol.TaskID {
	return protocol.TaskID{Job: job, Index: index}
}

func (s *story) up(machine protocol.MachineID, zone protocol.Zone) {
	s.machines = append(s.machines, MachineEvent{At: 0, Kind: MachineUp, Machine: machine, Type: "m8", Zone: zone})
}

func (s *story) on(at time.Duration, machine protocol.MachineID, id protocol.TaskID) {
	s.machines = append(s.machines, MachineEvent{At: at, Kind: TaskOn, Machine: machine, Task: id})
}

func (s *story) off(at time.Duration, machine protocol.MachineID, id protocol.TaskID, cause protocol.EndCause) {
	s.machines = append(s.machines, MachineEvent{At: at, Kind: TaskOff, Machine: machine, Task: id, Cause: cause})
}

func (s *story) ask(at time.Duration, kind UserEventKind, job protocol.JobID, status int, state protocol.JobState) {
	s.users = append(s.users, UserEvent{Asked: at, Answered: at + second/10, Kind: kind, Job: job, Status: status, State: state})
}

func (s *story) upload(job protocol.Job) {
	s.users = append(s.users, UserEvent{Kind: UserUploads, Job: job.ID, Details: job})
	s.ask(second, UserSubmits, job.ID, 201, protocol.JobQueued)
}

func goodStory() *story {
	s := &story{}
	s.up("a1", "a")
	s.up("a2", "a")
	s.up("b1", "b")
	s.upload(protocol.Job{ID: "job-array", Kind: protocol.KindJobArray, Team: "bound", Tasks: 2, CPUs: 4, Zone: "a", Types: []protocol.MachineType{"m8"}})
	s.upload(protocol.Job{ID: "job-gang", Kind: protocol.KindGang, Team: "free", Tasks: 2, CPUs: 1, OneZone: true})
	s.upload(protocol.Job{ID: "job-off", Kind: protocol.KindJobArray, Team: "free", Tasks: 1, CPUs: 1})
	s.on(2*second, "a1", task("job-array", 0))
	s.on(2*second, "a2", task("job-array", 1))
	s.off(9*second, "a1", task("job-array", 0), protocol.EndStopped)
	s.on(9*second, "a2", task("job-array", 0))
	s.off(20*second, "a2", task("job-array", 0), protocol.EndDone)
	s.off(20*second, "a2", task("job-array", 1), protocol.EndDone)
	s.on(3*second, "b1", task("job-gang", 0))
	s.on(4*second, "b1", task("job-gang", 1))
	s.off(15*second, "b1", task("job-gang", 0), protocol.EndDone)
	s.off(15*second, "b1", task("job-gang", 1), protocol.EndGangLost)
	s.on(3*second, "a1", task("job-off", 0))
	s.ask(10*second, UserCancels, "job-off", 200, protocol.JobCancelled)
	s.off(30*second, "a1", task("job-off", 0), protocol.EndStopped)
	s.ask(25*second, UserPolls, "job-array", 200, protocol.JobDone)
	s.ask(25*second, UserPolls, "job-gang", 200, protocol.JobDone)
	s.ask(12*second, UserPolls, "job-nobody", 404, "")
	return s
}

// TestCheckFindsPlantedFaults: a good run breaks no rule, and each fault planted
// into it breaks its own.
func TestCheckFindsPlantedFaults(t *testing.T) {
	terms := Terms{Teams: []Team{{"bound", 8}, {"free", 0}}, CancelS: 40}
	plants := map[string]struct {
		rule  Rule
		plant func(*story)
	}{
		"nothing wrong":                          {"", func(*story) {}},
		"started twice":                          {RanTwice, func(s *story) { s.on(5*second, "b1", task("job-off", 0)) }},
		"started a moment before the other ends": {RanTwice, func(s *story) { s.on(9*second-1, "a2", task("job-array", 0)) }},
		"over the limit": {Quota, func(s *story) {
			s.upload(protocol.Job{ID: "job-more", Kind: protocol.KindJobArray, Team: "bound", Tasks: 1, CPUs: 0.5})
			s.on(5*second, "b1", task("job-more", 0))
		}},
		"in the wrong zone": {WrongPlace, func(s *story) { s.on(40*second, "b1", task("job-array", 0)) }},
		"on the wrong type": {WrongPlace, func(s *story) {
			s.machines = append(s.machines, MachineEvent{Kind: MachineUp, Machine: "a3", Type: "m16", Zone: "a"})
			s.on(40*second, "a3", task("job-array", 0))
		}},
		"spread over one zone": {WrongPlace, func(s *story) {
			s.upload(protocol.Job{ID: "job-spread", Kind: protocol.KindJobArray, Team: "free", Tasks: 3, CPUs: 1, Spread: true})
			for i := range uint32(3) {
				s.on(40*second, "a1", task("job-spread", i))
			}
		}},
		"gang in two zones":    {WrongPlace, func(s *story) { s.on(5*second, "a1", task("job-gang", 1)) }},
		"cancelled, but stays": {RanCancelled, func(s *story) { s.on(31*second, "a1", task("job-off", 0)); s.on(55*second, "a1", task("job-gang", 0)) }},
		"cancelled, but starts": {RanCancelled, func(s *story) {
			s.on(51*second, "a2", task("job-off", 0))
			s.off(52*second, "a2", task("job-off", 0), protocol.EndStopped)
		}},
		"accepted and unknown":  {Forgotten, func(s *story) { s.ask(5*second, UserPolls, "job-array", 404, "") }},
		"accepted and refused":  {Forgotten, func(s *story) { s.ask(5*second, UserSubmits, "job-array", 422, "") }},
		"nobody knows it":       {Invented, func(s *story) { s.ask(5*second, UserPolls, "job-nobody", 200, protocol.JobQueued) }},
		"done before it is":     {NotDone, func(s *story) { s.ask(8*second, UserPolls, "job-array", 200, protocol.JobDone) }},
		"done and running":      {WentBack, func(s *story) { s.ask(30*second, UserPolls, "job-array", 200, protocol.JobRunning) }},
		"cancelled and running": {WentBack, func(s *story) { s.ask(11*second, UserPolls, "job-off", 200, protocol.JobRunning) }},
		"nobody cancelled it":   {WentBack, func(s *story) { s.ask(5*second, UserPolls, "job-array", 200, protocol.JobCancelled) }},
		"no poll is answered": {Forgotten, func(s *story) {
			for at := 30 * second; at < 130*second; at += 5 * second {
				s.ask(at, UserPolls, "job-gang", 503, "")
				s.ask(at, UserPolls, "job-array", 200, protocol.JobDone)
				s.ask(at+second, UserPolls, "job-array", 200, protocol.JobDone)
			}
		}},
		"nothing ran": {NothingRan, func(s *story) { s.machines, s.users = nil, nil }},
	}
	for name, p := range plants {
		s := goodStory()
		p.plant(s)
		found := Check(terms, s.machines, s.users)
		if p.rule == "" && len(found) > 0 {
			t.Errorf("%s: %v", name, found)
		}
		if p.rule != "" && !slices.ContainsFunc(found, func(v Violation) bool { return v.Rule == p.rule }) {
			t.Errorf("%s: %s not found: %v", name, p.rule, found)
		}
	}
}

// TestChangedLimits: a start is held against the limits that it may have been ordered by.
func TestChangedLimits(t *testing.T) {
	terms := Terms{Teams: []Team{{"bound", 8}}, CancelS: 40, WithinS: 11, Limits: []LimitChange{
		{Asked: 40 * second, Answered: 41 * second, Team: "bound", MaxCPUs: 4},
		{Asked: 90 * second, Answered: 91 * second, Team: "bound", MaxCPUs: 12},
	}}
	for at, broken := range map[time.Duration]bool{30 * second: false, 50 * second: false, 53 * second: true, 80 * second: true, 90 * second: false} {
		s := &story{}
		s.up("a1", "a")
		s.upload(protocol.Job{ID: "job-1", Kind: protocol.KindJobArray, Team: "bound", Tasks: 2, CPUs: 4})
		s.on(at-second/2, "a1", task("job-1", 0))
		s.machines = append(s.machines, MachineEvent{At: at, Kind: TaskOrdered, Machine: "a1", Task: task("job-1", 1)})
		s.on(at+second/2, "a1", task("job-1", 1))
		found := Check(terms, s.machines, s.users)
		if got := len(found) > 0; got != broken {
			t.Errorf("ordered at %v: %v", at, found)
		}
	}
}

// TestAnswersUnderWayMayCross: an answer is only held against those that came before
// its question was asked.
func TestAnswersUnderWayMayCross(t *testing.T) {
	s := goodStory()
	s.users = append(s.users, UserEvent{Asked: 25 * second, Answered: 26 * second, Kind: UserPolls, Job: "job-array", Status: 200, State: protocol.JobRunning})
	if found := Check(Terms{CancelS: 40}, s.machines, s.users); len(found) > 0 {
		t.Error(found)
	}
}
