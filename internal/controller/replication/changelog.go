package replication

// ChangeLog numbers the changes of keyed state. Of each key only the last change counts: the
// sender sends the state that the key has at that time. The zero value is an empty log.
type ChangeLog[K comparable] struct {
	version uint64
	changes map[K]*change[K]
	newest  *change[K]
}

// change is the last change of a key, in a linked list ordered by number.
type change[K comparable] struct {
	key          K
	number       uint64
	older, newer *change[K]
}

// Version returns the number of the last change; 0 before the first.
func (l *ChangeLog[K]) Version() uint64 { return l.version }

// Touch records that a key has changed.
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

// Drop removes a key. That is not replicated: receivers learn of it from the records in
// the key-value store.
func (l *ChangeLog[K]) Drop(key K) {
	if c := l.changes[key]; c != nil {
		l.unlink(c)
		delete(l.changes, key)
	}
}

// unlink takes a change out of the list.
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

// Since lists the keys changed after a number, the oldest change first and no more than a
// limit, and returns the number that they bring a receiver to. It visits the changes after
// the number only, not all keys.
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

// oldestAfter returns the oldest change after a number, and how many there are.
func (l *ChangeLog[K]) oldestAfter(number uint64) (oldest *change[K], count int) {
	for c := l.newest; c != nil && c.number > number; c = c.older {
		oldest = c
		count++
	}
	return oldest, count
}
