package reservation

import (
	"github.com/zyedidia/generic/interval"
)

const (
	// maxOccurrences bounds the index.
	maxOccurrences = 1 << 20
	// The keys of the tree have to differ: a number follows the time in them.
	numberBits = 20
	numberMask = 1<<numberBits - 1
)

// Occurrence is one time of a reservation or a window.
type Occurrence struct {
	Name   Name
	Window bool
	Start  Moment
	End    Moment // of a reservation: when its job should be over at the latest
}

// occurrenceIndex finds occurrences by time: a search costs by what it finds.
type occurrenceIndex struct {
	tree       *interval.Tree[int64, Occurrence]
	size       int
	lastNumber int64
}

func newOccurrenceIndex() *occurrenceIndex {
	return &occurrenceIndex{tree: interval.New[int64, Occurrence]()}
}

// treeTime is the first key of a moment.
func treeTime(m Moment) int64 { return int64(m) << numberBits }

func (x *occurrenceIndex) full() bool { return x.size >= maxOccurrences }

// add adds an occurrence and returns its key.
func (x *occurrenceIndex) add(o Occurrence) int64 {
	x.lastNumber = (x.lastNumber + 1) & numberMask
	key := treeTime(o.Start) | x.lastNumber
	x.tree.Put(key, treeTime(o.End), o)
	x.size++
	return key
}

// remove removes an occurrence by its key.
func (x *occurrenceIndex) remove(key int64) {
	x.tree.Remove(key)
	x.size--
}

// overlapping lists what overlaps a time, in the order of the beginnings.
func (x *occurrenceIndex) overlapping(from, to Moment) []Occurrence {
	var found []Occurrence
	for _, item := range x.tree.Overlaps(treeTime(from), treeTime(to)) {
		found = append(found, item.Val)
	}
	return found
}
