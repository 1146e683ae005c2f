package dynamicconfig

import (
	"fmt"
	"strings"
	"testing"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestLoweredLimitsKeepTheirRevision checks that the last revision that lowered a limit is
// recorded, and that later changes keep it.
func TestLoweredLimitsKeepTheirRevision(t *testing.T) {
	s := newStore()
	for i, step := range []struct {
		change operatorapi.ConfigChange
		want   Revision
	}{
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(16)}, 0}, // raised from 12
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(10)}, 2},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(30)}, 2},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(0)}, 2}, // no limit
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(40)}, 5},
		{operatorapi.ConfigChange{Entry: "team/bound", Closed: boolPtr(true)}, 5},
		{operatorapi.ConfigChange{Entry: "team/bound", Remove: true}, 0},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(9)}, 5}, // added again
	} {
		s.commit(t, step.change)
		if got := s.Effective().LimitLowered("bound"); got != step.want {
			t.Errorf("step %d: lowered by revision %d, want %d", i, got, step.want)
		}
	}
}

// TestResetKeepsLoweredRevision checks that a team that is reset to a higher limit keeps
// the last revision that lowered its limit: tasks that were placed before that revision,
// under an even higher limit, may not have started yet.
func TestResetKeepsLoweredRevision(t *testing.T) {
	s := newStore()
	s.commit(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(100)}) // raised from 12
	s.commit(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(10)})
	s.commit(t, operatorapi.ConfigChange{Entry: "team/bound", Reset: true})
	if got := s.Effective().LimitLowered("bound"); got != 2 {
		t.Errorf("lowered by revision %d, want 2", got)
	}
	if team, _ := s.Effective().Team("bound"); team.MaxCPUs != 12 {
		t.Errorf("%+v", team)
	}
	s.commit(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: floatPtr(50)})
	if got := s.Effective().LimitLowered("bound"); got != 2 {
		t.Errorf("changed again: lowered by revision %d, want 2", got)
	}
	if _, err := s.Decide(testFacts(), []operatorapi.ConfigChange{{Entry: "team/bound", Reset: true}}); err == nil {
		t.Error("a reset that lowers the limit was accepted")
	}
}

// TestInvalidChangeRefusesWholeRequest checks that an invalid change is refused with a
// text that names the problem, and that a valid change in the same request is not made
// either.
func TestInvalidChangeRefusesWholeRequest(t *testing.T) {
	s := newStore()
	s.commit(t, operatorapi.ConfigChange{Entry: "team/new", CPUs: floatPtr(5), MaxCPUs: floatPtr(9)}, operatorapi.ConfigChange{Entry: "team/ends", MaxCPUs: floatPtr(9), Closed: boolPtr(true)})
	good := operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: floatPtr(50)}
	f := testFacts()
	f.LiveJobs = func(team protocol.Team) int { return map[protocol.Team]int{"ends": 3}[team] }
	f.Processors = 40
	for want, change := range map[string]operatorapi.ConfigChange{
		"no kind of entry":           {Entry: "town/a", Closed: boolPtr(true)},
		"is no name":                 {Entry: "team/a b", CPUs: floatPtr(1)},
		"none of this name":          {Entry: "zone/nowhere", Closed: boolPtr(true)},
		"can't be changed":           {Entry: "setting/nodeLease", Value: settingPtr("2s")},
		"no duration":                {Entry: "setting/idleReturn", Value: settingPtr("soon")},
		"cpus_max: -1":               {Entry: "team/bound", MaxCPUs: floatPtr(-1)},
		"below the guarantee":        {Entry: "team/bound", MaxCPUs: floatPtr(3)},
		"several owners":             {Entry: "team/free", MaxCPUs: floatPtr(3)},
		"closed to new jobs first":   {Entry: "team/new", Remove: true},
		"3 of its jobs are not over": {Entry: "team/ends", Remove: true},
		"no such team":               {Entry: "team/never", Remove: true},
		"no kind of objective":       {Entry: "class/urgent", Objectives: &[]record.ObjectiveEntry{{Kind: "soon", Share: 0.5}}},
		"share 2 is not":             {Entry: "class/urgent", Objectives: &[]record.ObjectiveEntry{{Kind: "wait", WithinS: 1, Share: 2}}},
		"fields don't fit":           {Entry: "zone/a", CPUs: floatPtr(1)},
		"in all, 40 can be counted":  {Entry: "team/bound", CPUs: floatPtr(38), MaxCPUs: floatPtr(50)},
		"named twice":                good,
	} {
		before := s.Effective()
		plan, err := s.Decide(f, []operatorapi.ConfigChange{good, change})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
		if plan != nil && err == nil || s.Effective() != before {
			t.Errorf("%s: part of the request was applied", want)
		}
	}
	if _, err := s.Decide(f, make([]operatorapi.ConfigChange, 11)); err == nil || !strings.Contains(err.Error(), "at most 10 fit") {
		t.Errorf("11 entries: %v", err)
	}
}

// TestRequestsAreIdempotent checks that a request that was carried out is recognized by
// its ID, and that a request that makes no difference has a plan without changes.
func TestRequestsAreIdempotent(t *testing.T) {
	s := newStore()
	for i := range record.ConfigurationRequests + 5 {
		plan, err := s.Decide(testFacts(), []operatorapi.ConfigChange{{Entry: "team/other", MaxCPUs: floatPtr(float64(40 + i))}})
		if err != nil {
			t.Fatal(err)
		}
		plan.Request = fmt.Sprint("request-", i)
		if !s.records.Execute(plan.Transaction()) {
			t.Fatal("not written")
		}
		for ; s.applied < s.records.Changes(); s.applied++ {
			applyEvent(t, s.Tracker, s.records.Change(s.applied))
		}
	}
	if r, done := s.RevisionOfRequest(fmt.Sprint("request-", record.ConfigurationRequests+4)); !done || r != record.ConfigurationRequests+5 {
		t.Errorf("the last request: %v, %v", r, done)
	}
	if _, done := s.RevisionOfRequest("request-0"); done || len(s.current.Requests) != record.ConfigurationRequests {
		t.Errorf("%d requests are kept", len(s.current.Requests))
	}
	plan, err := s.Decide(testFacts(), []operatorapi.ConfigChange{{Entry: "team/other", MaxCPUs: floatPtr(float64(44 + record.ConfigurationRequests))}})
	if err != nil || len(plan.Changes) != 0 {
		t.Errorf("same value again: %+v, %v", plan, err)
	}
}
