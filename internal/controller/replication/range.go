package replication

// Range says which changes a message brings: all after From up to and including Upto. Each
// stream has numbers of its own. It is sent to peers.
type Range struct {
	Stream     uint64
	From, Upto uint64
}

// Follows reports whether a range continues an earlier one without a gap, so that both can
// be sent as one.
func (r Range) Follows(before Range) bool {
	return r.Stream == before.Stream && before.From <= r.From && r.From <= before.Upto
}
