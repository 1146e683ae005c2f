package coordination

import (
	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
	"slices"
)

// liveJob is an accepted job as the records have it.
type liveJob struct {
	protocol.Job
	version   protocol.Version
	since     Time              // when it was submitted
	due       Time              // when it should be done, as last reckoned
	owner     protocol.NodeName // by the view of ownerTerm
	ownerTerm protocol.Term
}

// allowsKind is the part that depends on the job alone.
func (j *liveJob) allowsKind(t protocol.TypeInfo, z protocol.Zone, spot bool) bool {
	if len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
		return false
	}
	return (j.Zone == "" || j.Zone == z) && (j.Spot || !spot) && room.Capacity(t).Covers(room.Need(&j.Job))
}

// fetchS is how long a machine of a type takes to get a job's image, in
// seconds.
func fetchS(t protocol.TypeInfo, j *protocol.Job) float64 {
	if t.FetchGBPS <= 0 {
		return 0
	}
	return j.ImageGB / t.FetchGBPS
}

// graceS is how long a task of a job is given to save, in seconds.
func graceS(j *protocol.Job) float64 { return 2*j.SaveS + 1 }
