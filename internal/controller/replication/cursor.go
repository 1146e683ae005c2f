package replication

// maxAcksWithoutProgress is the number of acknowledgements in a row, without progress and
// below the last number sent, after which the sender resends from the acknowledged number.
const maxAcksWithoutProgress = 3

// Cursor is the sender's state for one receiver and stream: the numbers up to which changes were
// sent and acknowledged. The zero value is for a receiver that has no changes.
type Cursor struct {
	sent, acknowledged  uint64
	acksWithoutProgress int // see maxAcksWithoutProgress
}

// SentUpTo returns the number of the last change that was sent: the next changes to send are
// those after it. It is lower than before if changes have to be sent again.
func (c *Cursor) SentUpTo() uint64 { return c.sent }

// MarkSent records that all changes up to a number were sent.
func (c *Cursor) MarkSent(upto uint64) { c.sent = max(c.sent, upto) }

// HandleAcknowledgement records the number up to which the receiver has all changes. After
// maxAcksWithoutProgress acknowledgements in a row that are below the last number sent and
// not above the last acknowledged one, a message was probably lost: SentUpTo then returns to the
// acknowledged number, so that the changes after it are sent again.
func (c *Cursor) HandleAcknowledgement(have uint64) {
	switch {
	case have > c.acknowledged:
		c.acknowledged = have
		c.acksWithoutProgress = 0
		c.sent = max(c.sent, have)
	case have < c.sent:
		c.acksWithoutProgress++
	default:
		c.acksWithoutProgress = 0
	}
	if c.acksWithoutProgress >= maxAcksWithoutProgress {
		c.sent = have
		c.acknowledged = have
		c.acksWithoutProgress = 0
	}
}
