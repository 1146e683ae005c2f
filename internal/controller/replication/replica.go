package replication

// Replica is the receiver's state of one stream at a time. The zero value has no changes.
type Replica struct {
	stream uint64
	have   uint64 // number up to which all changes were applied
}

// Begin starts receiving a stream from its beginning, and stops receiving the previous one:
// ranges of other streams are no longer accepted.
func (r *Replica) Begin(stream uint64) {
	r.stream = stream
	r.have = 0
}

// Have returns the number up to which the receiver has all changes.
func (r *Replica) Have() uint64 { return r.have }

// Accept reports whether a range of changes of the current stream may be applied, and if so
// counts it as applied: Have then returns its last number. A range that leaves a gap is
// rejected: a key that changed in the gap would keep its old state forever. A range that ends
// before what the receiver has is rejected too: it could restore an older state.
func (r *Replica) Accept(changes Range) bool {
	if changes.Stream != r.stream || changes.From > r.have || changes.Upto < r.have {
		return false
	}
	r.have = changes.Upto
	return true
}
