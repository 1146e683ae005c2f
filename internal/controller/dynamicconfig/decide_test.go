package dynamicconfig

import (
	"fmt"
	"strings"
	"testing"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestLoweredLimitsKeepTheirRevision: the last revision that lowered a limit is recorded,
// and later changes don't lose it.
func TestLoweredLimitsKeepTheirRevision(t *testing.T) {
	s := newStore()
	for i, step := range []struct {
		change operatorapi.ConfigChange
		want   Revision
	}{
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(16)}, 0}, // from 12
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(10)}, 2},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(30)}, 2},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(0)}, 2}, // any
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(40)}, 5},
		{operatorapi.ConfigChange{Entry: "team/bound", Closed: flag(true)}, 5},
		{operatorapi.ConfigChange{Entry: "team/bound", Remove: true}, 0},
		{operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(9)}, 5}, // added again
	} {
		s.write(t, step.change)
		if got := s.Effective().LimitLowered("bound"); got != step.want {
			t.Errorf("step %d: lowered by revision %d, want %d", i, got, step.want)
		}
	}
}

// TestResetKeepsLowered: a team that is reset to a higher limit keeps the revision that
// lowered it last: what was placed under a still higher limit may wait to be started.
func TestResetKeepsLowered(t *testing.T) {
	s := newStore()
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(100)}) // from 12
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(10)})
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", Reset: true})
	if got := s.Effective().LimitLowered("bound"); got != 2 {
		t.Errorf("lowered by revision %d, want 2", got)
	}
	if team, _ := s.Effective().Team("bound"); team.MaxCPUs != 12 {
		t.Errorf("%+v", team)
	}
	s.write(t, operatorapi.ConfigChange{Entry: "team/bound", MaxCPUs: number(50)})
	if got := s.Effective().LimitLowered("bound"); got != 2 {
		t.Errorf("changed again: lowered by revision %d, want 2", got)
	}
	if _, err := s.Decide(facts(), []operatorapi.ConfigChange{{Entry: "team/bound", Reset: true}}); err == nil {
		t.Error("a reset that lowers the limit was accepted")
	}
}

// TestBadChangesAreRefusedAsAWhole: each bad change is refused by name, and a good one in
// the same request is not made either.
func TestBadChangesAreRefusedAsAWhole(t *testing.T) {
	s := newStore()
	s.write(t, operatorapi.ConfigChange{Entry: "team/new", CPUs: number(5), MaxCPUs: number(9)}, operatorapi.ConfigChange{Entry: "team/ends", MaxCPUs: number(9), Closed: flag(true)})
	good := operatorapi.ConfigChange{Entry: "team/other", MaxCPUs: number(50)}
	f := facts()
	f.LiveJobs = func(team protocol.Team) int { return map[protocol.Team]int{"ends": 3}[team] }
	f.Processors = 40
	for want, change := range map[string]operatorapi.ConfigChange{
		"no kind of entry":           {Entry: "town/a", Closed: flag(true)},
		"is no name":                 {Entry: "team/a b", CPUs: number(1)},
		"none of this name":          {Entry: "zone/nowhere", Closed: flag(true)},
		"can't be changed":           {Entry: "setting/nodeLease", Value: setting("2s")},
		"no duration":                {Entry: "setting/idleReturn", Value: setting("soon")},
		"cpus_max: -1":               {Entry: "team/bound", MaxCPUs: number(-1)},
		"below the guarantee":        {Entry: "team/bound", MaxCPUs: number(3)},
		"several owners":             {Entry: "team/free", MaxCPUs: number(3)},
		"closed to new jobs first":   {Entry: "team/new", Remove: true},
		"3 of its jobs are not over": {Entry: "team/ends", Remove: true},
		"no such team":               {Entry: "team/never", Remove: true},
		"no kind of objective":       {Entry: "class/urgent", Objectives: &[]record.ObjectiveEntry{{Kind: "soon", Share: 0.5}}},
		"share 2 is not":             {Entry: "class/urgent", Objectives: &[]record.ObjectiveEntry{{Kind: "wait", WithinS: 1, Share: 2}}},
		"fields don't fit":           {Entry: "zone/a", CPUs: number(1)},
		"in all, 40 can be counted":  {Entry: "team/bound", CPUs: number(38), MaxCPUs: number(50)},
		"named twice":                good,
	} {
		before := s.Effective()
		plan, err := s.Decide(f, []operatorapi.ConfigChange{good, change})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
		if plan != nil && err == nil || s.Effective() != before {
			t.Errorf("%s: something of it was done", want)
		}
	}
	if _, err := s.Decide(f, make([]operatorapi.ConfigChange, 11)); err == nil || !strings.Contains(err.Error(), "at most 10 fit") {
		t.Errorf("11 entries: %v", err)
	}
}

// TestRequestsAreIdempotent: a request that was carried out is recognized by its id, and
// one that changes nothing writes nothing.
func TestRequestsAreIdempotent(t *testing.T) {
	s := newStore()
	for i := range record.ConfigurationRequests + 5 {
		plan, err := s.Decide(facts(), []operatorapi.ConfigChange{{Entry: "team/other", MaxCPUs: number(float64(40 + i))}})
		if err != nil {
			t.Fatal(err)
		}
		plan.Request = fmt.Sprint("request-", i)
		if !s.state.Txn(plan.Transaction()) {
			t.Fatal("not written")
		}
		for ; s.seen < s.state.Changes(); s.seen++ {
			take(t, s.Followed, s.state.Change(s.seen))
		}
	}
	if r, done := s.AppliedBy(fmt.Sprint("request-", record.ConfigurationRequests+4)); !done || r != record.ConfigurationRequests+5 {
		t.Errorf("the last request: %v, %v", r, done)
	}
	if _, done := s.AppliedBy("request-0"); done || len(s.head.Requests) != record.ConfigurationRequests {
		t.Errorf("%d requests are kept", len(s.head.Requests))
	}
	plan, err := s.Decide(facts(), []operatorapi.ConfigChange{{Entry: "team/other", MaxCPUs: number(float64(44 + record.ConfigurationRequests))}})
	if err != nil || len(plan.Changes) != 0 {
		t.Errorf("the same again: %+v, %v", plan, err)
	}
}
