package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"damsonkeel/internal/operatorapi"
	"damsonkeel/internal/record"
)

var (
	errNoAssignment    = errors.New("is no FIELD=VALUE")
	errNoSuchField     = errors.New("no such field")
	errNoObjectivePair = errors.New("is no NUMBER:SHARE")
)

// setField parses the text of the named field and sets the field of a change. A name that is
// no other field is the kind of an objective, which is added to those of the change; if it is
// no such kind either, the error is errNoSuchField.
//
//nolint:wrapcheck // the caller wraps all errors with the name of the field
func setField(change *operatorapi.ConfigChange, name, text string) error {
	amounts := map[string]**float64{"cpus": &change.CPUs, "cpus_max": &change.MaxCPUs, "gpus": &change.GPUs, "gpus_max": &change.MaxGPUs}
	if amount := amounts[name]; amount != nil {
		value, err := strconv.ParseFloat(text, 64)
		*amount = &value
		return err
	}
	switch name {
	case "closed":
		closed, err := strconv.ParseBool(text)
		change.Closed = &closed
		return err
	case "value":
		value := record.SettingText(text)
		change.Value = &value
		return nil
	}
	objective, err := parseObjective(name, text)
	if err != nil {
		return err
	}
	if change.Objectives == nil {
		change.Objectives = &[]record.ObjectiveEntry{}
	}
	*change.Objectives = append(*change.Objectives, objective)
	return nil
}

// objectiveDeadline is the kind of objective whose number is a factor instead of a time.
const objectiveDeadline = "deadline"

// parseObjective parses an objective of a kind from its text, NUMBER:SHARE. The number is a
// factor for objectiveDeadline, otherwise a time in seconds; the share is the fraction that
// has to meet the objective. An unknown kind is errNoSuchField.
//
//nolint:wrapcheck // the caller of setField wraps all errors with the name of the field
func parseObjective(kind, text string) (record.ObjectiveEntry, error) {
	objective := record.ObjectiveEntry{Kind: kind}
	number := &objective.WithinS
	switch kind {
	case "wait", "finished", "guarantee":
	case objectiveDeadline:
		number = &objective.Times
	default:
		return objective, errNoSuchField
	}
	numberText, shareText, ok := strings.Cut(text, ":")
	if !ok {
		return objective, fmt.Errorf("%q %w", text, errNoObjectivePair)
	}
	var err error
	if *number, err = strconv.ParseFloat(numberText, 64); err != nil {
		return objective, err
	}
	objective.Share, err = strconv.ParseFloat(shareText, 64)
	return objective, err
}
