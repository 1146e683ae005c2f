package admission

import (
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/resource"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// submit checks a submission and accepts or refuses it. A job whose id is known
// already is answered from its record: submissions are idempotent.
func (a *Admission) submit(r *request) {
	j, err := protocol.ParseSubmission(r.Body)
	if err != nil {
		a.refuseMalformed(r, err)
		return
	}
	r.Job = j.ID
	if rec, ok := a.finalRecord(j.ID); ok {
		a.answerFromRecord(r, rec)
		return
	}
	if a.machineTypes == nil {
		a.unavailable(r, "machine types not known yet")
		return
	}
	if reason := a.whyInfeasible(&j); reason != "" {
		a.refuseByConfiguration(r, Failure(statusUnprocessable, reason))
		return
	}
	j.SubmittedMS = r.WallMS
	a.write(r, a.conditionOnConfiguration(r, AcceptTransaction(&j)))
}

// refuseMalformed refuses a submission that can't be parsed.
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

// refuse refuses a submission, unless its id is one that was accepted.
func (a *Admission) refuse(r *request, refusal Answer) {
	r.refusal = &refusal
	a.readRecord(r)
}

// whyInfeasible says why a job can never run, or nothing.
func (a *Admission) whyInfeasible(j *protocol.Job) string {
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
// allows. Its zone is left aside: it may offer the type another day.
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

// exceeds reports whether an amount is over a team's limit; 0: the team has none.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+resource.Tolerance }

// AcceptTransaction accepts a job: it holds only if no job with its id is known.
func AcceptTransaction(j *protocol.Job) protocol.Transaction {
	return protocol.Transaction{
		Conditions: []protocol.Condition{{Key: record.JobKey(j.ID)}},
		Changes: []protocol.Change{
			{Put: record.JobKey(j.ID), Value: record.JobRecord{State: record.RecordLive, Tasks: j.Tasks}},
			{Put: record.LiveKey(j.ID), Value: j},
		},
	}
}
