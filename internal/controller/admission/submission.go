package admission

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// submit parses and checks a submission, and writes the transaction that accepts the job or
// refuses the submission. If a job with the same ID has been accepted before, its record
// answers the submission: submissions are idempotent.
func (a *Admission) submit(r *request) {
	j, err := protocol.ParseSubmission(r.Body)
	if err != nil {
		a.refuseMalformed(r, err)
		return
	}
	r.Job = j.ID
	if rec, ok := a.finalRecord(j.ID); ok {
		a.answerFromRecord(r, rec, 0)
		return
	}
	if a.machineTypes == nil {
		a.answerUnavailable(r, "machine types not known yet")
		return
	}
	if reason := a.infeasibleReason(&j); reason != "" {
		a.refuseByConfiguration(r, Failure(statusUnprocessable, reason))
		return
	}
	j.SubmittedMS = r.WallMS
	a.write(r, a.conditionOnConfiguration(r, AcceptTransaction(&j)))
}

// refuseMalformed refuses a submission that can't be parsed with status 400. If the job's
// ID can be read, a job that was accepted under that ID answers it instead.
func (a *Admission) refuseMalformed(r *request, err error) {
	refusal := Failure(statusBadRequest, err.Error())
	id, ok := protocol.SubmittedID(r.Body)
	if !ok {
		a.reply(r, refusal)
		return
	}
	r.Job = id
	a.refuse(r, refusal)
}

// refuse answers a submission with the given refusal, unless the store has a record of a
// job with its ID, which answers it then.
func (a *Admission) refuse(r *request, refusal Answer) {
	r.refusal = &refusal
	a.readRecord(r)
}

// infeasibleReason returns why a job can't be accepted under the configuration in force, or
// "" if it can: its team is unknown or closed, its tasks fit no machine type that it
// allows, or the tasks that must run at once (one of an array, otherwise all) exceed the
// team's limit.
func (a *Admission) infeasibleReason(j *protocol.Job) string {
	team, ok := a.configuration.Team(j.Team)
	if !ok {
		return "unknown team"
	}
	if team.Closed {
		return "the team is closed to new jobs"
	}
	if !a.runsOnAnyMachineType(j) {
		return "a task fits no allowed machine type"
	}
	tasksAtOnce := 1.0
	if j.Kind != protocol.KindJobArray {
		tasksAtOnce = float64(j.Tasks)
	}
	if exceeds(tasksAtOnce*j.CPUs, team.MaxCPUs) || exceeds(tasksAtOnce*j.GPUs, team.MaxGPUs) {
		return "more than the team's limit"
	}
	return ""
}

// runsOnAnyMachineType reports whether a task of a job fits a machine type that the job
// allows. It ignores the job's zone, which may offer the type at another time.
func (a *Admission) runsOnAnyMachineType(j *protocol.Job) bool {
	live := clusterstate.LiveJob{Job: *j}
	live.Zone = ""
	for _, t := range a.machineTypes {
		if live.AllowsKind(t, "", false) {
			return true
		}
	}
	return false
}

// exceeds reports whether an amount of CPUs or GPUs is above a team's limit. A limit of 0
// means none.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+resource.Tolerance }

// AcceptTransaction returns the transaction that accepts a job. It is conditional on there
// being no record with the job's ID.
func AcceptTransaction(j *protocol.Job) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(j.ID)}},
		Changes: []protocol.Change{
			{Put: record.JobKey(j.ID), Value: record.JobRecord{State: record.RecordLive, Tasks: j.Tasks}},
			{Put: record.LiveKey(j.ID), Value: j},
		},
	}
}
