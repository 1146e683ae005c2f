package reservation

import (
	"github.com/zyedidia/generic/interval"
)

const (
	// maxOccurrences bounds the number of occurrences in the index.
	maxOccurrences = 1 << 20
	// The keys of the tree have to be unique: the time in a key is followed by a sequence
	// number of sequenceBits bits.
	sequenceBits = 20
	sequenceMask = 1<<sequenceBits - 1
)

// Occurrence is one of the periods in which a reservation or a window is in effect.
type Occurrence struct {
	Name   Name // of the entry
	Window bool // it is of a window, not of a reservation
	Start  Moment
	End    Moment // for a reservation: when its job should have ended at the latest
}

// occurrenceIndex finds occurrences by time. The cost of a search grows with the number
// of occurrences found, not with that of all occurrences.
type occurrenceIndex struct {
	tree         *interval.Tree[int64, Occurrence]
	size         int
	lastSequence int64
}

func newOccurrenceIndex() *occurrenceIndex {
	return &occurrenceIndex{tree: interval.New[int64, Occurrence]()}
}

// firstKeyAt returns the smallest key of a moment.
func firstKeyAt(m Moment) int64 { return int64(m) << sequenceBits }

func (x *occurrenceIndex) full() bool { return x.size >= maxOccurrences }

// add adds an occurrence and returns its key.
func (x *occurrenceIndex) add(o Occurrence) int64 {
	x.lastSequence = (x.lastSequence + 1) & sequenceMask
	key := firstKeyAt(o.Start) | x.lastSequence
	x.tree.Put(key, firstKeyAt(o.End), o)
	x.size++
	return key
}

// remove removes an occurrence by its key.
func (x *occurrenceIndex) remove(key int64) {
	x.tree.Remove(key)
	x.size--
}

// overlapping returns the occurrences that overlap the period from one moment until before
// another, ordered by start.
func (x *occurrenceIndex) overlapping(from, to Moment) []Occurrence {
	var found []Occurrence
	for _, item := range x.tree.Overlaps(firstKeyAt(from), firstKeyAt(to)) {
		found = append(found, item.Val)
	}
	return found
}
