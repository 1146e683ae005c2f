package replication

// Replica is the receiver's side of one stream at a time. The zero value has no changes.
type Replica struct {
	stream uint64
	have   uint64
}

// Begin starts to receive a stream from its beginning.
func (r *Replica) Begin(stream uint64) {
	r.stream = stream
	r.have = 0
}

// Have returns the number up to which the receiver has all changes.
func (r *Replica) Have() uint64 { return r.have }

// Accept reports whether a range of changes may be applied, and counts it as applied. A
// range that leaves a gap may not: a key changed in between would keep an old state for
// ever. Nor may one that ends before what the receiver has: it may bring an older state
// back.
func (r *Replica) Accept(changes Range) bool {
	if changes.Stream != r.stream || changes.From > r.have || changes.Upto < r.have {
		return false
	}
	r.have = changes.Upto
	return true
}
