package clusterstate

import (
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

const (
	// graceCheckpointFactor and graceSlackS define the grace period of a task: this
	// multiple of the time that saving a checkpoint takes, plus this many seconds.
	graceCheckpointFactor = 2
	graceSlackS           = 1
)

// LiveJob is an accepted job, neither done nor cancelled, as it is recorded.
type LiveJob struct {
	protocol.Job
	Version     protocol.Version  // version of the job's record
	SubmittedAt clock.Time        // when it was submitted
	Deadline    clock.Time        // result of State.Deadline when it was last calculated
	owner       protocol.NodeName // cached owner in the view of ownerTerm
	ownerTerm   protocol.Term
}

// AllowsKind reports whether the job's own requirements allow machines of a type in a zone, spot
// machines or others: the job's lists of types and zones, whether it accepts spot machines, and
// whether one of its tasks fits into an empty machine. It considers no reservation, window or
// configuration.
func (j *LiveJob) AllowsKind(machineType protocol.TypeInfo, zone protocol.Zone, spot bool) bool {
	if len(j.Types) > 0 && !slices.Contains(j.Types, machineType.Name) {
		return false
	}
	zoneAllowed := j.Zone == "" || j.Zone == zone
	spotAllowed := j.Spot || !spot
	return zoneAllowed && spotAllowed && resource.Capacity(machineType).Covers(resource.Need(&j.Job))
}

// FetchS returns how long a machine of a type takes to fetch a job's image, in seconds; 0 if
// the type's fetch rate is not known.
func FetchS(machineType protocol.TypeInfo, job *protocol.Job) float64 {
	if machineType.FetchGBPS <= 0 {
		return 0
	}
	return job.ImageGB / machineType.FetchGBPS
}

// GraceS returns the grace period, in seconds, that a task of a job gets between the request to
// stop and its end, so that it can save a checkpoint.
func GraceS(job *protocol.Job) float64 {
	return graceCheckpointFactor*job.CheckpointDurationS + graceSlackS
}
