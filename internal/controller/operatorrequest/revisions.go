package operatorrequest

import (
	"time"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// revisionOf is the revision that a controller says it acts by, and how long ago it
// said so.
func (ops *Handler) revisionOf(name protocol.NodeName) (record.ConfigurationRevision, time.Duration) {
	if name == ops.Self {
		return ops.Configuration.Effective().Revision, 0
	}
	p := ops.table.Peers[name]
	if p == nil || p.ConfiguredAt == 0 {
		return 0, 0
	}
	return p.Configuration, ops.Since(p.ConfiguredAt)
}
