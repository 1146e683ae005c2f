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

// setField parses the value of a field of a change.
//
//nolint:wrapcheck // the caller wraps all errors with the name of the field
func setField(c *operatorapi.ConfigChange, name, text string) error {
	amounts := map[string]**float64{"cpus": &c.CPUs, "cpus_max": &c.MaxCPUs, "gpus": &c.GPUs, "gpus_max": &c.MaxGPUs}
	if amount := amounts[name]; amount != nil {
		value, err := strconv.ParseFloat(text, 64)
		*amount = &value
		return err
	}
	switch name {
	case "closed":
		closed, err := strconv.ParseBool(text)
		c.Closed = &closed
		return err
	case "value":
		value := record.SettingText(text)
		c.Value = &value
		return nil
	}
	objective, err := parseObjective(name, text)
	if err != nil {
		return err
	}
	if c.Objectives == nil {
		c.Objectives = &[]record.ObjectiveEntry{}
	}
	*c.Objectives = append(*c.Objectives, objective)
	return nil
}

// objectiveDeadline is the kind of objectives whose number is a factor, not a time.
const objectiveDeadline = "deadline"

// parseObjective parses the number and the share of an objective.
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
	first, second, ok := strings.Cut(text, ":")
	if !ok {
		return objective, fmt.Errorf("%q %w", text, errNoObjectivePair)
	}
	var err error
	if *number, err = strconv.ParseFloat(first, 64); err != nil {
		return objective, err
	}
	objective.Share, err = strconv.ParseFloat(second, 64)
	return objective, err
}
