package admission

import "damsonkeel/internal/protocol"

// ownerQuery is a question to this controller's core: what it knows of live jobs, of
// leading peers and of members.
type ownerQuery interface {
	// resume goes on with what the question was asked for.
	resume(a *Admission, id QueryID, m OwnersAnswered)
}

// queryOwners asks the core.
func (a *Admission) queryOwners(query ownerQuery, jobs ...protocol.JobID) {
	a.lastQuery++
	a.queries[a.lastQuery] = query
	a.emit(QueryOwners{a.lastQuery, jobs})
}

func (a *Admission) ownersAnswered(m OwnersAnswered) {
	query := a.queries[m.Query]
	if query == nil {
		return
	}
	delete(a.queries, m.Query)
	query.resume(a, m.Query, m)
}

// progressQuery asks how far a live job is, to answer a request for it.
type progressQuery struct{ request *request }

func (q progressQuery) resume(a *Admission, _ QueryID, m OwnersAnswered) {
	id := q.request.Job
	a.reply(q.request, liveAnswer(id, m.Jobs[id].Progress))
}
