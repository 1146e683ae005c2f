// Package replication passes on what changed instead of all there is. The sender
// numbers its changes (Log) and remembers what each receiver has (Cursor); a
// receiver accepts only pieces that leave no gap after what it has (Replica).
// Whatever is lost, repeated or overtaken on the way, a receiver holds for every
// key the state as of its last change that the receiver's number covers:
// docs/design.md has the proof, the tests of this package try it.
package replication

// Log numbers the changes of keyed things. Of each key only the last change
// counts: who passes it on sends the state that the key has then. The zero
// value is an empty log.
type Log[K comparable] struct {
	version uint64
	at      map[K]*change[K]
	newest  *change[K]
}

// change is a key's last change, in a list by number.
type change[K comparable] struct {
	key          K
	number       uint64
	older, newer *change[K]
}

// Version is the number of the last change; 0 before the first.
func (l *Log[K]) Version() uint64 { return l.version }

// Touch notes that a key has changed.
func (l *Log[K]) Touch(k K) {
	if l.at == nil {
		l.at = map[K]*change[K]{}
	}
	c := l.at[k]
	if c == nil {
		c = &change[K]{key: k}
		l.at[k] = c
	} else {
		l.unlink(c)
	}
	l.version++
	c.number = l.version
	c.older, c.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = c
	}
	l.newest = c
}

// Drop forgets a key. Receivers are not told: they learn from the records that
// it is gone.
func (l *Log[K]) Drop(k K) {
	if c := l.at[k]; c != nil {
		l.unlink(c)
		delete(l.at, k)
	}
}

func (l *Log[K]) unlink(c *change[K]) {
	if c.older != nil {
		c.older.newer = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		l.newest = c.older
	}
	c.older, c.newer = nil, nil
}

// Since lists the keys changed after a number, the oldest change first, at most
// so many, and the number that they bring a receiver to. It looks at what
// recordChanged since, not at all keys.
func (l *Log[K]) Since(number uint64, most int) (keys []K, upto uint64) {
	n := 0
	c := l.newest
	for c != nil && c.number > number {
		n++
		if c.older == nil {
			break
		}
		c = c.older
	}
	if c != nil && c.number <= number {
		c = c.newer
	}
	if n <= most {
		most, upto = n, l.version
	}
	keys = make([]K, 0, most)
	for ; c != nil && len(keys) < most; c = c.newer {
		keys = append(keys, c.key)
		if n > most {
			upto = c.number
		}
	}
	return keys, max(upto, number)
}

// Range says which changes a message brings: all after From up to and with
// Upto. Pieces of another stream never mix with it.
type Range struct {
	Stream     uint64
	From, Upto uint64
}

// Follows reports whether a piece goes on, without a gap, from where one before
// it ended, so that both can be sent as one.
func (p Range) Follows(before Range) bool {
	return p.Stream == before.Stream && before.From <= p.From && p.From <= before.Upto
}

// stuckAfter is how many times in a row a receiver may name a number below what
// was sent, without getting on, before the sender goes back to it.
const stuckAfter = 3

// Cursor is what a sender knows of one receiver. The zero value is a receiver
// that has nothing.
type Cursor struct {
	sent, acked uint64
	stuck       int
}

// Next is the number after which changes are to be sent.
func (c *Cursor) Next() uint64 { return c.sent }

// Sent notes that all changes up to a number were sent.
func (c *Cursor) Sent(upto uint64) { c.sent = max(c.sent, upto) }

// Acknowledged takes the number that the receiver says it has. Where it does not get
// on, something sent was lost on the way, and the sender goes back to what the
// receiver has.
func (c *Cursor) Acknowledged(have uint64) {
	switch {
	case have > c.acked:
		c.acked, c.stuck = have, 0
		c.sent = max(c.sent, have)
	case have < c.sent:
		c.stuck++
	default:
		c.stuck = 0
	}
	if c.stuck >= stuckAfter {
		c.sent, c.acked, c.stuck = have, have, 0
	}
}

// Replica is the receiver's side of one stream at a time. The zero value has
// nothing.
type Replica struct {
	stream uint64
	have   uint64
}

// Begin starts with nothing of a stream.
func (r *Replica) Begin(stream uint64) { r.stream, r.have = stream, 0 }

// Have is the number up to which all changes are held.
func (r *Replica) Have() uint64 { return r.have }

// Accept reports whether a piece may be taken, and counts it as taken. One that
// leaves a gap may not: a key changed in between would keep an old state for
// ever. One that ends before what is held may not either: it may bring back an
// older state.
func (r *Replica) Accept(p Range) bool {
	if p.Stream != r.stream || p.From > r.have || p.Upto < r.have {
		return false
	}
	r.have = p.Upto
	return true
}
