package clusterstate

import (
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

const (
	// graceSaves and graceSlackS make the grace period of a task: so many times as long
	// as saving a checkpoint takes, and some seconds.
	graceSaves  = 2
	graceSlackS = 1
)

// LiveJob is an accepted job as it is recorded.
type LiveJob struct {
	protocol.Job
	Version   protocol.Version
	Since     clock.Time        // when it was submitted
	Deadline  clock.Time        // as last calculated
	owner     protocol.NodeName // in the view of ownerTerm
	ownerTerm protocol.Term
}

// AllowsKind reports whether the job alone allows machines of a type in a zone: no
// reservation, window or configuration is considered.
func (j *LiveJob) AllowsKind(machineType protocol.TypeInfo, zone protocol.Zone, spot bool) bool {
	if len(j.Types) > 0 && !slices.Contains(j.Types, machineType.Name) {
		return false
	}
	zoneAllowed := j.Zone == "" || j.Zone == zone
	spotAllowed := j.Spot || !spot
	return zoneAllowed && spotAllowed && resource.Capacity(machineType).Covers(resource.Need(&j.Job))
}

// FetchS returns how long a machine of a type takes to fetch a job's image, in seconds.
func FetchS(machineType protocol.TypeInfo, job *protocol.Job) float64 {
	if machineType.FetchGBPS <= 0 {
		return 0
	}
	return job.ImageGB / machineType.FetchGBPS
}

// GraceS returns the grace period in which a task of a job may save a checkpoint, in
// seconds.
func GraceS(job *protocol.Job) float64 { return graceSaves*job.CheckpointDurationS + graceSlackS }
