package protocol

// submission is the wire form of a submitted job. All fields are pointers, so that a
// missing field is detected and named in the error. Users receive error texts of Decode
// that contain the name of this type, so it must not change.
type submission struct {
	ID                  *string   `cbor:"id"`
	Class               *string   `cbor:"berth"`
	Team                *string   `cbor:"crew"`
	Kind                *string   `cbor:"rig"`
	Priority            *string   `cbor:"tide"`
	Tasks               *uint64   `cbor:"hauls"`
	CPUs                *float64  `cbor:"cores"`
	GPUs                *float64  `cbor:"gpus"`
	MemoryGB            *float64  `cbor:"memory_gb"`
	Image               *string   `cbor:"hullcast"`
	ImageGB             *float64  `cbor:"image_gb"`
	Types               *[]string `cbor:"hulls"`
	Zone                *string   `cbor:"quay"`
	OneZone             *bool     `cbor:"together"`
	Spread              *bool     `cbor:"scatter"`
	Spot                *bool     `cbor:"driftstock"`
	EstimateS           *float64  `cbor:"passage_s"`
	CheckpointS         *float64  `cbor:"logmark_s"`
	CheckpointDurationS *float64  `cbor:"stow_s"`
	DeadlineS           *float64  `cbor:"landfall_s"`
}

// SubmittedID reads only the id of an encoded submission and ignores all other fields, even
// malformed ones. It returns false if the id can't be decoded or is invalid. Callers use it so
// that a repeated submission of an accepted job is never refused.
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

// ParseSubmission decodes and validates a submission. Its error names the first field that is
// missing or invalid.
func ParseSubmission(body []byte) (Job, error) {
	if len(body) == 0 {
		return Job{}, errEmptySubmission
	}
	var s submission
	if err := Decode(body, &s); err != nil {
		return Job{}, err
	}
	if s.ID == nil {
		return Job{}, &FieldError{Field: "id", Problem: problemMissing}
	}
	id, err := ParseJobID(*s.ID)
	if err != nil {
		return Job{}, err
	}
	job := Job{ID: id}
	var c fieldChecker
	c.convertRequired(&s, &job)
	c.convertOptional(&s, &job)
	c.convertTaskCount(s.Tasks, &job)
	c.checkValues(&job)
	return job, c.err
}

// EncodeSubmission encodes a job in the form in which users submit it.
func EncodeSubmission(j Job) ([]byte, error) {
	class, team, kind, priority := j.Class, string(j.Team), string(j.Kind), string(j.Priority)
	id, tasks := string(j.ID), uint64(j.Tasks)
	s := submission{
		ID: &id, Class: &class, Team: &team, Kind: &kind, Priority: &priority, Tasks: &tasks,
		CPUs: &j.CPUs, GPUs: &j.GPUs, MemoryGB: &j.MemoryGB, Image: &j.Image, ImageGB: &j.ImageGB,
		OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot,
		EstimateS: &j.EstimateS, CheckpointS: &j.CheckpointS, CheckpointDurationS: &j.CheckpointDurationS,
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
