package controller

import (
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/protocol"

	"pgregory.net/rapid"
)

// TestDeadlineIsFirstThatCanBeMet: a job's deadline is the first of its objectives' times that
// it can still meet. If it can meet none of them, the deadline is a later time, so that no job
// is postponed forever.
func TestDeadlineIsFirstThatCanBeMet(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(outer)
		h.core.Settings.Site.Objectives = append(h.core.Settings.Site.Objectives, config.Objective{Kind: "deadline", Class: "array", Times: 1.5})
		h.core.Configuration.Reset() // has it use the changed objectives
		job := &clusterstate.LiveJob{Job: protocol.Job{
			Class: "array", EstimateS: float64(rapid.IntRange(1, 300).Draw(t, "estimate")), DeadlineS: float64(rapid.IntRange(0, 300).Draw(t, "deadline")),
		}, SubmittedAt: h.core.Now}
		previous := Time(0)
		for range 30 {
			deadline := h.core.Deadline(job)
			if deadline < previous {
				t.Fatalf("the deadline is %v, earlier than the previous one, %v", deadline, previous)
			}
			if left := time.Duration(deadline - h.core.Now).Seconds(); left < job.EstimateS-0.001 {
				t.Fatalf("the deadline is in %v s, but the job takes %v s", left, job.EstimateS)
			}
			previous = deadline
			h.core.Now += Time(time.Duration(rapid.IntRange(1, 100).Draw(t, "wait")) * time.Second)
		}
	})
}

// TestObjectiveWithoutTimeSetsNoDeadline: an objective without a time, which a settings file
// may contain, sets no deadline. Doubling a time of zero until it can be met would never
// end.
func TestObjectiveWithoutTimeSetsNoDeadline(t *testing.T) {
	h := newHarness(t)
	h.core.Settings.Site.Objectives = append(h.core.Settings.Site.Objectives, config.Objective{Kind: "finished", Class: "array"})
	h.core.Configuration.Reset() // has it use the changed objectives
	job := &clusterstate.LiveJob{Job: protocol.Job{Class: "array", EstimateS: 10}, SubmittedAt: h.core.Now}
	if n := len(h.core.ObjectiveTimes(&job.Job)); n != 0 {
		t.Fatalf("an objective without a time yields %d times", n)
	}
	if deadline := h.core.Deadline(job); deadline <= h.core.Now {
		t.Errorf("the deadline %v has passed", deadline)
	}
}

// TestJobsThatCanMeetDeadlineArePlacedBeforeLateOnes: jobs that can still meet their deadline
// are placed before jobs that can't.
func TestJobsThatCanMeetDeadlineArePlacedBeforeLateOnes(t *testing.T) {
	h := newHarness(t)
	for id, deadline := range map[protocol.JobID]float64{"job-1": 20, "job-2": 60} {
		h.core.jobs.AddAccepted(protocol.Job{ID: id, Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: 10, DeadlineS: deadline}, 1, false)
	}
	if h.core.jobs.InPlacementOrder()[0].ID != "job-1" {
		t.Fatal("the job with the earliest deadline is not the first in placement order")
	}
	h.core.Now += Time(35 * time.Second)
	h.core.refreshDeadlines()
	if h.core.jobs.InPlacementOrder()[0].ID != "job-2" {
		t.Error("a late job precedes a job that can meet its deadline")
	}
}
