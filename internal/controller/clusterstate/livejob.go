package clusterstate

import (
	"slices"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
)

// LiveJob is an accepted job as the records have it.
type LiveJob struct {
	protocol.Job
	Version   protocol.Version
	Since     clock.Time        // when it was submitted
	Deadline  clock.Time        // when it should be done, as last reckoned
	owner     protocol.NodeName // reportedBy the view of ownerTerm
	ownerTerm protocol.Term
}

// AllowsKind is the part that depends on the job alone.
func (j *LiveJob) AllowsKind(t protocol.TypeInfo, z protocol.Zone, spot bool) bool {
	if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
		return false
	}
	return (j.Zone == "" || j.Zone == z) && (j.Spot || !spot) && resource.Capacity(t).Covers(resource.Need(&j.Job))
}

// FetchS is how long a machine of a type takes to get a job's image, in
// seconds.
func FetchS(t protocol.TypeInfo, j *protocol.Job) float64 {
	if t.FetchGBPS <= 0 {
		return 0
	}
	return j.ImageGB / t.FetchGBPS
}

// GraceS is how long a task of a job is given to save, in seconds.
func GraceS(j *protocol.Job) float64 { return 2*j.SaveS + 1 }
