package replication

// Range identifies the changes in a message: all after From, up to and including Upto. It
// is sent to peers.
type Range struct {
	// Stream identifies the sequence that From and Upto are numbers of.
	Stream uint64
	// From is the number of the last change before the range, 0 at the start of a stream.
	// Upto is the number of the last change in the range.
	From, Upto uint64
}

// Follows reports whether the range begins within or directly after an earlier one of the same
// stream, so that both can be sent as one range from the beginning of the earlier one.
func (r Range) Follows(before Range) bool {
	return r.Stream == before.Stream && before.From <= r.From && r.From <= before.Upto
}
