package admission

import "damsonkeel/internal/protocol"

// coreQuery is a pending query to this controller's core for the state of live jobs, the
// peers that hold their lease and the members of the view, and the operation that it
// belongs to.
type coreQuery interface {
	// resume continues the operation that issued the query.
	resume(a *Admission, id QueryID, m CoreAnswered)
}

// queryCore sends a query to the core for the given jobs. When the core answers, the
// query's resume is called.
func (a *Admission) queryCore(query coreQuery, jobs ...protocol.JobID) {
	a.lastQuery++
	a.queries[a.lastQuery] = query
	a.emit(QueryCore{a.lastQuery, jobs})
}

// handleCoreAnswer resumes the query that the core has answered. An answer to an unknown
// query is dropped.
func (a *Admission) handleCoreAnswer(m CoreAnswered) {
	query := a.queries[m.Query]
	if query == nil {
		return
	}
	delete(a.queries, m.Query)
	query.resume(a, m.Query, m)
}

// progressQuery asks for the progress of a live job, in order to answer a request for it.
type progressQuery struct{ request *request }

func (q progressQuery) resume(a *Admission, _ QueryID, m CoreAnswered) {
	id := q.request.Job
	a.reply(q.request, liveAnswer(id, m.Jobs[id].Progress))
}
