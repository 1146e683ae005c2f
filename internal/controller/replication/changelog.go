package replication

// ChangeLog assigns ascending sequence numbers to the changes of keyed state. It has only
// the last change of each key, since a sender sends the state that the key has at the time
// of sending. The zero value is an empty log.
type ChangeLog[K comparable] struct {
	version uint64 // number of the last change
	changes map[K]*change[K]
	newest  *change[K] // end of the linked list; nil if the list is empty
}

// change is the last change of a key, in a linked list ordered by number.
type change[K comparable] struct {
	key          K
	number       uint64
	older, newer *change[K]
}

// Version returns the number of the last change; 0 before the first.
func (l *ChangeLog[K]) Version() uint64 { return l.version }

// Touch records that a key has changed, or is new: the change gets the next number and replaces
// the earlier change of the key.
func (l *ChangeLog[K]) Touch(key K) {
	if l.changes == nil {
		l.changes = map[K]*change[K]{}
	}
	c := l.changes[key]
	if c == nil {
		c = &change[K]{key: key}
		l.changes[key] = c
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

// Drop removes a key and its last change, so that Since no longer lists it. The removal is not
// replicated: receivers observe it in the records of the key-value store.
func (l *ChangeLog[K]) Drop(key K) {
	if c := l.changes[key]; c != nil {
		l.unlink(c)
		delete(l.changes, key)
	}
}

// unlink removes a change from the linked list.
func (l *ChangeLog[K]) unlink(c *change[K]) {
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

// Since lists the keys whose last change is after a number, the oldest change first and at most
// limit keys. It also returns the number up to which a receiver that has all changes up to the
// given number has all changes once it has received these keys: less than Version if the limit
// left out any. It visits only the changes after the number, not all keys.
func (l *ChangeLog[K]) Since(number uint64, limit int) (keys []K, upto uint64) {
	oldest, count := l.oldestAfter(number)
	complete := count <= limit
	keys = make([]K, 0, min(count, limit))
	if complete {
		upto = l.version
	}
	for c := oldest; c != nil && len(keys) < limit; c = c.newer {
		keys = append(keys, c.key)
		if !complete {
			upto = c.number
		}
	}
	return keys, max(upto, number)
}

// oldestAfter returns the oldest change after a number, and the count of changes after it.
func (l *ChangeLog[K]) oldestAfter(number uint64) (oldest *change[K], count int) {
	for c := l.newest; c != nil && c.number > number; c = c.older {
		oldest = c
		count++
	}
	return oldest, count
}
