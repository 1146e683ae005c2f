package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"

	"pgregory.net/rapid"
)

// TestDeadlineIsFirstThatCanBeMet: a job's deadline is the first of its times that it can
// still meet, and a later one when it can meet none, so that nothing waits for ever.
func TestDeadlineIsFirstThatCanBeMet(t *testing.T) {
	tt := t
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(tt)
		b.c.Settings.Site.Objectives = append(b.c.Settings.Site.Objectives, config.Objective{Kind: "deadline", Class: "array", Times: 1.5})
		b.c.Configuration.Reset() // read anew
		l := &clusterstate.LiveJob{Job: protocol.Job{
			Class: "array", EstimateS: float64(rapid.IntRange(1, 300).Draw(t, "estimate")), DeadlineS: float64(rapid.IntRange(0, 300).Draw(t, "deadline")),
		}, SubmittedAt: b.c.Now}
		before := Time(0)
		for range 30 {
			due := b.c.Deadline(l)
			if due < before {
				t.Fatalf("due at %v after %v", due, before)
			}
			if left := time.Duration(due - b.c.Now).Seconds(); left < l.EstimateS-0.001 {
				t.Fatalf("due in %v s, takes %v s", left, l.EstimateS)
			}
			before = due
			b.c.Now += Time(time.Duration(rapid.IntRange(1, 100).Draw(t, "wait")) * time.Second)
		}
	})
}

// TestObjectiveWithoutTimeSetsNoDeadline: an objective that names no time, as a settings file
// may, sets none; doubling it would never reach any.
func TestObjectiveWithoutTimeSetsNoDeadline(t *testing.T) {
	b := newBench(t)
	b.c.Settings.Site.Objectives = append(b.c.Settings.Site.Objectives, config.Objective{Kind: "finished", Class: "array"})
	b.c.Configuration.Reset() // read anew
	l := &clusterstate.LiveJob{Job: protocol.Job{Class: "array", EstimateS: 10}, SubmittedAt: b.c.Now}
	if n := len(b.c.ObjectiveTimes(&l.Job)); n != 0 {
		t.Fatalf("%d times of an objective without one", n)
	}
	if due := b.c.Deadline(l); due <= b.c.Now {
		t.Errorf("due at %v", due)
	}
}

// TestJobsThatCanMeetDeadlineGoBeforeLateOnes: what can still be done in time goes before
// what is late.
func TestJobsThatCanMeetDeadlineGoBeforeLateOnes(t *testing.T) {
	b := newBench(t)
	for id, deadline := range map[protocol.JobID]float64{"job-1": 20, "job-2": 60} {
		b.c.jobs.AddAccepted(protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, DeadlineS: deadline}, 1, false)
	}
	if b.c.jobs.InPlacementOrder()[0].ID != "job-1" {
		t.Fatal("the earliest deadline does not go first")
	}
	b.c.Now += Time(35 * time.Second)
	b.c.refreshDeadlines()
	if b.c.jobs.InPlacementOrder()[0].ID != "job-2" {
		t.Error("a late job goes before one that can be in time")
	}
}
