package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

const (
	// transactionTimeout is how long a process waits for the outcome of a transaction.
	transactionTimeout = 1500 * time.Millisecond
	// maxTransactionBytes bounds the total size of the blocks (records of many machines) that a
	// transaction writes, in bytes of JSON.
	maxTransactionBytes = 64 << 10
)

// stateService models the key-value store and its faults.
type stateService struct {
	*timeline
	state          *fake.KeyValueStore
	outageUntil    time.Duration
	wasUnavailable bool          // whether it was unavailable at the last step
	stateLatency   time.Duration // added latency of a transaction and of the watch
	watchLag       time.Duration // additional delay until controllers observe changes
	// lateWriteFraction is the fraction of the transactions that get no reply and are applied
	// 2 to 12 seconds later, possibly after newer transactions.
	lateWriteFraction float64
	// lostAnswerFraction is the fraction of the transactions that are applied but whose reply
	// is lost, in addition to the one in twenty whose reply is always lost.
	lostAnswerFraction float64
	// slowWatchFraction is the fraction of the watches whose answers take minSlowWatch to
	// maxSlowWatch, and so may arrive after the session that opened the watch has ended.
	slowWatchFraction float64
	changeTimes       []time.Duration // times of the changes, from index state.CompactedChanges on
}

// isUnavailable reports whether the key-value store has an outage.
func (s *stateService) isUnavailable() bool { return s.outageUntil > s.now }

// advanceStateService is called at each step. It expires leases unless the key-value store is
// unavailable; at the end of an outage, it first renews all leases for their full length.
func (s *stateService) advanceStateService() {
	unavailable := s.isUnavailable()
	if s.wasUnavailable && !unavailable {
		s.state.RenewAllLeases(s.now)
	}
	if s.wasUnavailable = unavailable; !unavailable {
		s.state.ExpireLeases(s.now)
	}
}

// recordChangeTimes records the times of the changes that happened since the last step.
func (s *stateService) recordChangeTimes() {
	for s.state.CompactedChanges+len(s.changeTimes) < s.state.Changes() {
		s.changeTimes = append(s.changeTimes, s.now)
	}
}

// changeAge returns how long ago the change with index i happened.
func (s *stateService) changeAge(i int) time.Duration {
	if i -= s.state.CompactedChanges; i >= len(s.changeTimes) {
		return 0 // happened in this step
	}
	return s.now - s.changeTimes[i]
}

// transactionCallback is called with the outcome of a transaction and the resulting revision
// of the key-value store.
type transactionCallback func(message.Outcome, protocol.Revision)

// stateReachable reports whether the node can reach the key-value store: there is no outage
// and no partition between the two.
func (n *node) stateReachable() bool {
	w := n.world
	p, ok := w.partitions[partitionKey(string(n.name), stateEndpoint)]
	return !w.isUnavailable() && (!ok || p.until <= w.now)
}

// commit applies a transaction that the core has returned, after checking its size, and passes
// the outcome to the core.
func (n *node) commit(a message.Commit) {
	n.world.checkTransactionSize(a)
	session := n.core.Session
	n.transact(a.Transaction, func(out message.Outcome, at protocol.Revision) {
		n.stepInSession(session, message.CommitDone{Tag: a.Tag, Outcome: out, Revision: at})
	})
}

// transact applies a transaction and reports the outcome to done, unless the node's process
// has ended by then. If the key-value store is unreachable, the transaction is refused; but
// during a partition that delays messages, it is applied when the partition ends and gets no
// reply. The fraction lateWriteFraction is applied late, also without a reply.
func (n *node) transact(txn protocol.Transaction, done transactionCallback) {
	w := n.world
	if !n.stateReachable() {
		p := w.partitions[partitionKey(string(n.name), stateEndpoint)]
		if p.delayed && !w.isUnavailable() {
			w.after(p.until-w.now+w.delay(), func() { w.state.Execute(txn) })
			n.loseAnswer(done)
			return
		}
		n.afterIfAlive(w.delay(), func() { done(message.OutcomeRefused, 0) })
		return
	}
	if w.lateWriteFraction > 0 && w.rng.Float64() < w.lateWriteFraction {
		w.after(2*time.Second+time.Duration(w.rng.IntN(10_000))*time.Millisecond, func() { w.state.Execute(txn) })
		n.loseAnswer(done)
		return
	}
	if w.stateLatency > 0 {
		w.after(w.stateLatency/2, func() { n.apply(txn, done) })
		return
	}
	n.apply(txn, done)
}

// loseAnswer reports an unknown outcome to done after transactionTimeout, as for a transaction
// whose reply is lost.
func (n *node) loseAnswer(done transactionCallback) {
	n.afterIfAlive(transactionTimeout, func() { done(message.OutcomeUnknown, 0) })
}

// apply applies a transaction to the key-value store and reports the outcome to done: done,
// failed if a condition does not hold, or unknown if the reply is lost.
func (n *node) apply(txn protocol.Transaction, done transactionCallback) {
	w := n.world
	out := message.OutcomeFailed
	if w.state.Execute(txn) {
		out = message.OutcomeDone
		w.scheduleWatch()
	}
	at := w.state.Revision
	if w.rng.IntN(20) == 0 || w.lostAnswerFraction > 0 && w.rng.Float64() < w.lostAnswerFraction {
		out = message.OutcomeUnknown // the reply is lost
	}
	n.afterIfAlive(w.stateLatency/2, func() {
		n.afterIfAlive(w.delay(), func() { done(out, at) })
	})
}

// checkTransactionSize reports a violation if a transaction has more changes than the setting
// TxnOps or more than four times as many conditions, or if its blocks (records of many
// machines) are larger than the setting ValueKB each or than maxTransactionBytes together.
func (w *world) checkTransactionSize(a message.Commit) {
	limits := w.settings.Site.State
	if ops := len(a.Transaction.Changes); ops > limits.TxnOps || len(a.Transaction.Conditions) > 4*limits.TxnOps {
		w.fail("%v transaction %T of %d conditions and %d changes", w.now, a.Tag, len(a.Transaction.Conditions), ops)
	}
	total := 0
	for _, change := range a.Transaction.Changes {
		if block, ok := change.Value.(record.Block); ok {
			w.blockWrites++
			text, err := json.Marshal(block)
			if total += len(text); err != nil || float64(len(text)) > 1024*limits.ValueKB || total > maxTransactionBytes {
				w.fail("%v value of %d bytes, %d in all, %v", w.now, len(text), total, err)
			}
		}
	}
}

// newStateService returns the model of an empty key-value store.
func newStateService(t *timeline) stateService {
	return stateService{timeline: t, state: fake.NewKeyValueStore()}
}

// newNetwork returns a network without partitions.
func newNetwork(t *timeline, rng *rand.Rand) network {
	return network{timeline: t, rng: rng, partitions: map[string]partition{}}
}
