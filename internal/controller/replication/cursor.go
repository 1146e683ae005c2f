package replication

// maxAcksWithoutProgress is the number of acknowledgements in a row, without progress and
// below the last number sent, after which the sender resends from the acknowledged number.
const maxAcksWithoutProgress = 3

// Cursor is the sender's state for one receiver: the numbers up to which changes were sent
// and acknowledged. The zero value is for a receiver that has no changes.
type Cursor struct {
	sent, acknowledged  uint64
	acksWithoutProgress int
}

// SentUpTo returns the number after which the next changes to send begin.
func (c *Cursor) SentUpTo() uint64 { return c.sent }

// MarkSent records that all changes up to a number were sent.
func (c *Cursor) MarkSent(upto uint64) { c.sent = max(c.sent, upto) }

// HandleAcknowledgement handles an acknowledgement: the number up to which the receiver has all
// changes. Repeated acknowledgements without progress mean that a message was lost; the
// sender then resends from the acknowledged number.
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
