package clusterstate

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

func newState(t *testing.T) *State {
	t.Helper()
	return NewState(fake.Settings(), config.DefaultOperator(), slog.New(slog.DiscardHandler))
}

// TestRendezvousMovesOnlyKeysOfRemovedMember checks that when a member leaves the view,
// only the keys that it was responsible for move, and that all members are responsible for
// some keys.
func TestRendezvousMovesOnlyKeysOfRemovedMember(t *testing.T) {
	before := record.View{Members: map[protocol.NodeName]protocol.LeaseID{"a": 1, "b": 2, "c": 3}}
	after := record.View{Members: map[protocol.NodeName]protocol.LeaseID{"a": 1, "b": 2}}
	count := map[protocol.NodeName]int{}
	for i := range 300 {
		key := fmt.Sprint("key ", i)
		name := Rendezvous(before, key)
		count[name]++
		moved := Rendezvous(after, key)
		if name != "c" && moved != name {
			t.Errorf("%s moves from %s to %s", key, name, moved)
		}
		if excluded := RendezvousExcluding(before, []protocol.NodeName{"c"}, key); excluded != moved {
			t.Errorf("%s: %s without c, %s in a view without c", key, excluded, moved)
		}
	}
	if count["a"] < 60 || count["b"] < 60 || count["c"] < 60 {
		t.Errorf("keys by member: %v", count)
	}
}

// TestMayStartRequiresLiveJob checks that tasks of a job may be started while the job is
// live, and not once it is marked as cancelled or ended.
func TestMayStartRequiresLiveJob(t *testing.T) {
	s := newState(t)
	s.Now = clock.Time(time.Minute)
	if s.MayStart("job") {
		t.Error("tasks of a job that was not observed may start")
	}
	s.Live["job"] = &LiveJob{}
	if !s.MayStart("job") || s.HasEnded("job") {
		t.Error("tasks of a live job may not start, or the job has ended")
	}
	s.MarkCancelled("job")
	if s.MayStart("job") {
		t.Error("tasks of a cancelled job may start")
	}
	delete(s.Live, "job")
	s.MarkEnded("job")
	if s.MayStart("job") || !s.HasEnded("job") {
		t.Error("tasks of an ended job may start, or the job has not ended")
	}
}

// TestFinishByDoublesMissedTimes checks that a job should be finished by its deadline while
// it can still meet it, and that the time is doubled, repeatedly if needed, once the job
// can't meet it any more.
func TestFinishByDoublesMissedTimes(t *testing.T) {
	for name, tc := range map[string]struct {
		deadlineS float64
		age       time.Duration
		want      time.Duration // after the submission
	}{
		"no deadline":            {want: noDeadlineS * time.Second},
		"deadline can be met":    {deadlineS: 60, age: 30 * time.Second, want: time.Minute},
		"deadline is missed":     {deadlineS: 60, age: 90 * time.Second, want: 2 * time.Minute},
		"doubled time is missed": {deadlineS: 60, age: 150 * time.Second, want: 4 * time.Minute},
		"estimate is too long":   {deadlineS: 60, age: 55 * time.Second, want: 2 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState(t)
			since := clock.Time(time.Hour)
			s.Now = since.Add(tc.age)
			job := &LiveJob{Job: protocol.Job{DeadlineS: tc.deadlineS, EstimateS: 10}, SubmittedAt: since}
			if got := s.FinishBy(job).Since(since); got != tc.want {
				t.Errorf("%v after the submission, want %v", got, tc.want)
			}
		})
	}
}
