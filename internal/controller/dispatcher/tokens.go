package dispatcher

import (
	"damsonkeel/internal/controller/sharding"
	"damsonkeel/internal/protocol"
)

// tokenReserve is the number of fencing tokens left in a shard below which more are requested.
const tokenReserve = sharding.TokensPerEpoch / 2

// machineTokens is the state of the fencing tokens that this dispatcher issues to a machine.
// They lie between the shard epoch and the epoch number of the shard in the shard table, so
// they are later than those of all earlier dispatchers and earlier than those of all later
// ones.
type machineTokens struct {
	// issued is the latest token issued to the machine; 0 or an earlier dispatcher's while the
	// shard epoch is its token.
	issued protocol.Term
	// needed is set while a direct start has to be fenced by a token that is not issued yet.
	needed bool
	// deferred is set if no token was issued with the last reply to a heartbeat although one
	// was needed.
	deferred bool
}

// tokensLeft returns how many fencing tokens, the last of which is given, can still be issued
// to each machine of a shard before its epoch number has to rise.
func (shard *shardState) tokensLeft(last protocol.Term) protocol.Term {
	return last - min(last, max(shard.epoch, shard.highestIssued))
}

// fencingToken returns the token that commands to the machine carry: the latest one issued to
// it, or the term without shards.
func (q *queue) fencingToken() protocol.Term {
	if !q.Sharded() {
		return q.View.Term
	}
	return max(q.tokens.issued, q.ShardEpoch(q.id, q.zone))
}

// continueTokens makes a new queue issue later tokens than an earlier queue of the machine has
// issued in this shard epoch.
func (q *queue) continueTokens() {
	if q.Sharded() {
		q.tokens.issued = q.shard().highestIssued
	}
}

// adoptSeenToken makes a token that the worker has seen the latest one issued to its machine if
// it is later: with an earlier one, the worker would drop all replies and commands.
func (q *queue) adoptSeenToken(seen protocol.Term) {
	if q.Sharded() && seen > q.fencingToken() {
		q.recordIssued(seen)
	}
}

// fenceDirectStart has a token issued that is later than that of an attempt's direct start,
// unless one is already. Once the worker has seen it, neither the start nor a copy of it can
// be executed any more. Without shards, it requests a new term.
func (q *queue) fenceDirectStart(e *entry) {
	switch {
	case !e.mayArrive(q.fencingToken()):
	case q.Sharded():
		q.tokens.needed = true
	case q.commandInFlight == 0:
		q.requestNewTerm(e)
	}
}

// requestNewTerm requests a new term, which fences a direct start without shards.
func (q *queue) requestNewTerm(e *entry) {
	q.Log.Info("requesting a new term to fence a direct start", "machine", q.id, "task", e.task, "attempt", e.attempt, "token", e.directFencingToken)
	q.newTermNeeded = true
}

// issueTokenIfNeeded issues a later token to the machine before its worker is answered, if a
// direct start has to be fenced. It waits for the next heartbeat once if direct commands are
// in flight, since the worker would refuse them after the reply.
func (q *queue) issueTokenIfNeeded() {
	wait := q.tokens.needed && q.commandInFlight != 0 && !q.tokens.deferred
	q.tokens.deferred = wait
	if q.tokens.needed && !wait {
		q.issueToken()
	}
}

// issueToken issues the next token to the machine. If the shard has none left, it requests more
// and issues none.
func (q *queue) issueToken() {
	last := q.LastFencingToken(q.id, q.zone)
	if token := q.fencingToken(); token < last {
		q.recordIssued(token + 1)
		q.tokens.needed = false
		q.statistics.tokensIssued++
		q.Log.Debug("issued a fencing token", "machine", q.id, "token", q.tokens.issued, "last", last)
	}
	if q.shard().tokensLeft(last) < tokenReserve {
		q.requestTokens()
	}
}

// recordIssued records a token as the latest one issued to the machine.
func (q *queue) recordIssued(token protocol.Term) {
	shard := q.shard()
	q.tokens.issued, shard.highestIssued = token, max(shard.highestIssued, token)
}

// requestTokens requests more fencing tokens for the shards that have few left. One change of
// the shard record provides them for all of these.
func (env *environment) requestTokens() {
	if !env.shards.tokensRequested {
		env.statistics.tokenRequests++
	}
	env.shards.tokensRequested, env.shards.changeDue = true, true
}
