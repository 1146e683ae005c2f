package dynamicconfig

import (
	"slices"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

// maxObjectives bounds the number of objectives of a class, so that its record stays small.
const maxObjectives = 20

// objectiveKinds lists the kinds of objectives that the platform's file defines.
var objectiveKinds = []string{"wait", "finished", "deadline", "guarantee"}

// classAfter returns the entry of a class after a change, which resets it or replaces all its
// objectives. It refuses more than maxObjectives objectives and invalid ones.
func classAfter(c operatorapi.ConfigChange) (record.ConfigurationEntry, error) {
	if c.Reset {
		return record.ConfigurationEntry{Reset: true}, nil
	}
	objectives := *c.Objectives
	if len(objectives) > maxObjectives {
		return record.ConfigurationEntry{}, refused("%d objectives, at most %d", len(objectives), maxObjectives)
	}
	for _, o := range objectives {
		if err := checkObjective(o); err != nil {
			return record.ConfigurationEntry{}, err
		}
	}
	return record.ConfigurationEntry{Class: &record.ClassEntry{Objectives: objectives}}, nil
}

// checkObjective returns a RefusedError for an objective of an unknown kind, with a share that
// is not above 0 and at most 1, or with a time or factor that is not from 0 to maxAmount.
func checkObjective(o record.ObjectiveEntry) error {
	inRange := func(v float64) bool { return v >= 0 && v <= maxAmount } // false for NaN
	validShare := o.Share > 0 && o.Share <= 1
	switch {
	case !slices.Contains(objectiveKinds, o.Kind):
		return refused("%q is no kind of objective: %v", o.Kind, objectiveKinds)
	case !validShare:
		return refused("%s: share %v is not above 0 and at most 1", o.Kind, o.Share)
	case !inRange(o.WithinS) || !inRange(o.Times):
		return refused("%s: within_s %v or times %v is out of range", o.Kind, o.WithinS, o.Times)
	}
	return nil
}
