package protocol

import (
	"errors"
	"fmt"
	"math"
)

// Kind says how the tasks of a job run.
type Kind string

// The kinds of jobs.
const (
	KindJobArray Kind = "batch"
	KindGang     Kind = "gang"
	KindService  Kind = "standing"
)

// Priority orders jobs for preemption.
type Priority string

// priorityRanks lists the priorities, the most urgent highest.
var priorityRanks = map[Priority]int{"production": 3, "high": 2, "standard": 1, "best_effort": 0}

// Rank is larger for the more urgent priority.
func (p Priority) Rank() int { return priorityRanks[p] }

// Known reports whether it is one of the priorities that there are.
func (p Priority) Known() bool {
	_, ok := priorityRanks[p]
	return ok
}

// Job is a job as its user described it.
type Job struct {
	ID          JobID         `cbor:"id"`
	Class       string        `cbor:"berth"`
	Team        Team          `cbor:"crew"`
	Kind        Kind          `cbor:"rig"`
	Priority    Priority      `cbor:"tide"`
	Tasks       uint32        `cbor:"hauls"`
	CPUs        float64       `cbor:"cores"`
	GPUs        float64       `cbor:"gpus"`
	MemoryGB    float64       `cbor:"memory_gb"`
	Image       string        `cbor:"hullcast"`
	ImageGB     float64       `cbor:"image_gb"`
	Types       []MachineType `cbor:"hulls"`
	Zone        Zone          `cbor:"quay"`
	OneZone     bool          `cbor:"together"`
	Spread      bool          `cbor:"scatter"`
	Spot        bool          `cbor:"driftstock"`
	EstimateS   float64       `cbor:"passage_s"`
	CheckpointS float64       `cbor:"logmark_s"`
	SaveS       float64       `cbor:"stow_s"`
	DeadlineS   float64       `cbor:"landfall_s"`
	SubmittedMS int64         `cbor:"submitted_ms,omitempty"` // ours: when it was accepted, by the accepting controller's clock
}

// submission has every field optional so that a missing one can be named.
type submission struct {
	ID          *string   `cbor:"id"`
	Class       *string   `cbor:"berth"`
	Team        *string   `cbor:"crew"`
	Kind        *string   `cbor:"rig"`
	Priority    *string   `cbor:"tide"`
	Tasks       *uint64   `cbor:"hauls"`
	CPUs        *float64  `cbor:"cores"`
	GPUs        *float64  `cbor:"gpus"`
	MemoryGB    *float64  `cbor:"memory_gb"`
	Image       *string   `cbor:"hullcast"`
	ImageGB     *float64  `cbor:"image_gb"`
	Types       *[]string `cbor:"hulls"`
	Zone        *string   `cbor:"quay"`
	OneZone     *bool     `cbor:"together"`
	Spread      *bool     `cbor:"scatter"`
	Spot        *bool     `cbor:"driftstock"`
	EstimateS   *float64  `cbor:"passage_s"`
	CheckpointS *float64  `cbor:"logmark_s"`
	SaveS       *float64  `cbor:"stow_s"`
	DeadlineS   *float64  `cbor:"landfall_s"`
}

// SubmittedID reads only the id out of a submission that may otherwise be
// malformed, so that a repeat of an accepted job is never refused.
func SubmittedID(body []byte) (JobID, bool) {
	var s struct {
		ID string `cbor:"id"`
	}
	if err := Decode(body, &s); err != nil {
		return "", false
	}
	id, err := ParseJobID(s.ID)
	return id, err == nil
}

// ParseSubmission reads and checks a submission. Its errors name the field.
func ParseSubmission(body []byte) (Job, error) {
	var s submission
	if len(body) == 0 {
		return Job{}, errors.New("empty submission")
	}
	if err := Decode(body, &s); err != nil {
		return Job{}, err
	}
	if s.ID == nil {
		return Job{}, errors.New("id: missing")
	}
	id, err := ParseJobID(*s.ID)
	if err != nil {
		return Job{}, err
	}
	j := Job{ID: id}
	var c fieldChecker
	j.Class = c.text("berth", s.Class)
	j.Team = Team(c.text("crew", s.Team))
	j.Kind = Kind(c.text("rig", s.Kind))
	j.Priority = Priority(c.text("tide", s.Priority))
	j.CPUs = c.amount("cores", s.CPUs)
	j.GPUs = c.amount("gpus", s.GPUs)
	j.MemoryGB = c.amount("memory_gb", s.MemoryGB)
	j.Image = c.text("hullcast", s.Image)
	j.ImageGB = c.amount("image_gb", s.ImageGB)
	j.OneZone = c.flag("together", s.OneZone)
	j.Spread = c.flag("scatter", s.Spread)
	j.Spot = c.flag("driftstock", s.Spot)
	j.EstimateS = c.amount("passage_s", s.EstimateS)
	j.CheckpointS = c.amount("logmark_s", s.CheckpointS)
	j.SaveS = c.amount("stow_s", s.SaveS)
	if s.DeadlineS != nil {
		j.DeadlineS = c.amount("landfall_s", s.DeadlineS)
	}
	if s.Zone != nil {
		j.Zone = Zone(c.text("quay", s.Zone))
	}
	if s.Types != nil {
		for _, t := range *s.Types {
			j.Types = append(j.Types, MachineType(c.text("hulls", &t)))
		}
		if len(j.Types) == 0 || len(j.Types) > 50 {
			c.fail("hulls", "empty or too long")
		}
	}
	switch {
	case s.Tasks == nil:
		c.fail("hauls", "missing")
	case *s.Tasks < 1 || *s.Tasks > MaxTasks:
		c.fail("hauls", "out of range")
	default:
		j.Tasks = uint32(*s.Tasks)
	}
	if j.Kind != KindJobArray && j.Kind != KindGang && j.Kind != KindService {
		c.fail("rig", "unknown kind")
	}
	if _, ok := priorityRanks[j.Priority]; !ok {
		c.fail("tide", "unknown priority")
	}
	if j.CPUs == 0 && j.GPUs == 0 {
		c.fail("cores", "a task must take some processor")
	}
	return j, c.err
}

// EncodeSubmission writes a job as its user submits it.
func EncodeSubmission(j Job) ([]byte, error) {
	class, team, kind, priority := j.Class, string(j.Team), string(j.Kind), string(j.Priority)
	id, tasks := string(j.ID), uint64(j.Tasks)
	s := submission{
		ID: &id, Class: &class, Team: &team, Kind: &kind, Priority: &priority, Tasks: &tasks,
		CPUs: &j.CPUs, GPUs: &j.GPUs, MemoryGB: &j.MemoryGB, Image: &j.Image, ImageGB: &j.ImageGB,
		OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot,
		EstimateS: &j.EstimateS, CheckpointS: &j.CheckpointS, SaveS: &j.SaveS,
	}
	if j.DeadlineS > 0 {
		s.DeadlineS = &j.DeadlineS
	}
	if j.Zone != "" {
		zone := string(j.Zone)
		s.Zone = &zone
	}
	if len(j.Types) > 0 {
		types := make([]string, len(j.Types))
		for i, t := range j.Types {
			types[i] = string(t)
		}
		s.Types = &types
	}
	return Encode(s)
}

// fieldChecker keeps the first thing found wrong.
type fieldChecker struct{ err error }

func (c *fieldChecker) fail(field, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", field, what)
	}
}

func (c *fieldChecker) text(field string, p *string) string {
	switch {
	case p == nil:
		c.fail(field, "missing")
		return ""
	case *p == "" || len(*p) > 200:
		c.fail(field, "empty or too long")
	}
	return *p
}

func (c *fieldChecker) amount(field string, p *float64) float64 {
	switch {
	case p == nil:
		c.fail(field, "missing")
		return 0
	case math.IsNaN(*p) || *p < 0 || *p > 1e9:
		c.fail(field, "out of range")
		return 0
	}
	return *p
}

func (c *fieldChecker) flag(field string, p *bool) bool {
	if p == nil {
		c.fail(field, "missing")
		return false
	}
	return *p
}

// JobState is what users are told of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// JobStatus answers submissions, polls and cancellations.
type JobStatus struct {
	ID      JobID    `cbor:"id"`
	State   JobState `cbor:"bearing"`
	Done    *uint32  `cbor:"done,omitempty"`
	Running *uint32  `cbor:"running,omitempty"`
}
