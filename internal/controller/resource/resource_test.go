package resource

import (
	"testing"

	"damsonkeel/internal/protocol"
)

// TestCountFittingAndFractionalFit checks that CountFitting counts whole tasks and
// FractionalFit fractions too, and that for a task that uses nothing CountFitting is bounded
// and FractionalFit is 0.
func TestCountFittingAndFractionalFit(t *testing.T) {
	free := Amount{CPUs: 4, GPUs: 1, GB: 8}
	for name, tc := range map[string]struct {
		need       Amount
		count      int
		fractional float64
	}{
		"limited by processors":   {need: Amount{CPUs: 2}, count: 2, fractional: 2},
		"limited by memory":       {need: Amount{CPUs: 1, GB: 3}, count: 2, fractional: 8.0 / 3},
		"decimal sums":            {need: Amount{CPUs: 0.1}, count: 40, fractional: 40},
		"more than available":     {need: Amount{GPUs: 2}, count: 0, fractional: 0.5},
		"nothing":                 {need: Amount{}, count: maxFitting, fractional: 0},
		"all resources used once": {need: free, count: 1, fractional: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := free.CountFitting(tc.need); got != tc.count {
				t.Errorf("%d fit, want %d", got, tc.count)
			}
			if got := free.FractionalFit(tc.need); Round(got) != Round(tc.fractional) {
				t.Errorf("%v fit with fractions, want %v", got, tc.fractional)
			}
		})
	}
}

// TestNonPreemptibleSumsLevelsFromThatLevel checks that a level can't preempt the resources
// that it and all higher levels use, and that levels out of range count as the nearest one.
func TestNonPreemptibleSumsLevelsFromThatLevel(t *testing.T) {
	const standard = protocol.Priority("standard")
	var u Uses
	u.Add(-1, Amount{CPUs: 1})
	u.Add(1, Amount{CPUs: 2})
	u.Add(LevelOf(standard, true), Amount{CPUs: 4})
	u.Add(Levels+3, Amount{CPUs: 8})
	for level, want := range map[Level]float64{-2: 15, 0: 15, 1: 14, 2: 12, Levels - 1: 8, Levels: 0, Levels + 1: 0} {
		if got := u.NonPreemptible(level).CPUs; got != want {
			t.Errorf("level %d can't preempt %v processors, want %v", level, got, want)
		}
	}
	if got := u.AboveRank(0).CPUs; got != 14 {
		t.Errorf("%v processors above the lowest rank, want 14", got)
	}
}
