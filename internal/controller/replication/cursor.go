package replication

// stuckAfter is how many times in a row a receiver may acknowledge a number below what was
// sent, without progress, before the sender resends from that number.
const stuckAfter = 3

// Cursor tracks what one receiver was sent and has. The zero value is for a receiver that
// has nothing.
type Cursor struct {
	sent, acknowledged uint64
	stuck              int // acknowledgements in a row without progress
}

// Next returns the number after which changes are to be sent.
func (c *Cursor) Next() uint64 { return c.sent }

// Sent records that all changes up to a number were sent.
func (c *Cursor) Sent(upto uint64) { c.sent = max(c.sent, upto) }

// Acknowledged handles the number that the receiver says it has. Without progress, a
// message was lost on the way, and the sender goes back to what the receiver has.
func (c *Cursor) Acknowledged(have uint64) {
	switch {
	case have > c.acknowledged:
		c.acknowledged = have
		c.stuck = 0
		c.sent = max(c.sent, have)
	case have < c.sent:
		c.stuck++
	default:
		c.stuck = 0
	}
	if c.stuck >= stuckAfter {
		c.sent = have
		c.acknowledged = have
		c.stuck = 0
	}
}
