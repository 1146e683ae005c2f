package rules

import (
	"time"

	"damsonkeel/internal/protocol"
)

// replay applies the next machine event to the tracked state of machines and tasks, and
// checks the rules that concern it.
func (c *checker) replay(e MachineEvent) {
	c.lastEvent = max(c.lastEvent, e.At)
	switch e.Kind {
	case MachineUp:
		c.machines[e.Machine] = e
		c.tasksOn[e.Machine] = map[protocol.TaskID]bool{}
	case MachineLost:
		for task := range c.tasksOn[e.Machine] {
			c.taskEnded(e.Machine, task, e.At)
		}
	case TaskStartAccepted:
		c.startAccepted[e.Task] = e.At
	case TaskStarted:
		c.taskStarted(e)
	case TaskEnded:
		c.taskEnded(e.Machine, e.Task, e.At)
		if e.Cause == protocol.EndDone {
			c.taskCompleted(e)
		}
	}
}

// taskCompleted records that a task has completed. The tasks of a gang complete together, so
// that the completion of one of them completes all.
func (c *checker) taskCompleted(e MachineEvent) {
	job := c.jobs[e.Task.Job]
	if job.Kind != protocol.KindGang {
		c.markCompleted(e.Task, e.At)
		return
	}
	for i := range job.Tasks {
		c.markCompleted(protocol.TaskID{Job: job.ID, Index: i}, e.At)
	}
}

// markCompleted records when a task first completed.
func (c *checker) markCompleted(task protocol.TaskID, at time.Duration) {
	if _, before := c.completed[task]; !before {
		c.completed[task] = at
	}
}

// taskStarted checks the rules for the start of a task and adds the task to its machine, unless
// its job was never submitted. The rules concern tasks on two machines, cancelled jobs,
// placement constraints and the limit of the team.
func (c *checker) taskStarted(e MachineEvent) {
	c.starts++
	if other, running := c.machineOf[e.Task]; running && other != e.Machine {
		c.addViolation(RuleRanTwice, e.At, "%v starts on %s while on %s", e.Task, e.Machine, other)
	}
	job, known := c.jobs[e.Task.Job]
	if !known {
		c.addViolation(RuleWrongPlace, e.At, "%v starts, but its job was never submitted", e.Task)
		return
	}
	if confirmed, ok := c.cancelConfirmed[job.ID]; ok && e.At > confirmed+c.cancelGrace() {
		c.addViolation(RuleRanCancelled, e.At, "%v starts on %s %v after its cancellation was confirmed", e.Task, e.Machine, e.At-confirmed)
	}
	c.checkPlacement(e, job)
	if c.tasksOn[e.Machine][e.Task] {
		return
	}
	c.addTask(e, job)
}

// addTask adds a task to its machine and its processors to those that its team uses, and checks
// their sum against the team's limit.
func (c *checker) addTask(e MachineEvent, job protocol.Job) {
	if c.tasksOn[e.Machine] == nil {
		c.tasksOn[e.Machine] = map[protocol.TaskID]bool{}
	}
	c.tasksOn[e.Machine][e.Task] = true
	c.machineOf[e.Task] = e.Machine
	c.usedCPUs[job.Team] += job.CPUs
	if limit := c.effectiveLimit(e, job.Team); limit > 0 && c.usedCPUs[job.Team] > limit+cpuTolerance {
		c.addViolation(RuleQuota, e.At, "team %s uses %v processors, its limit is %v", job.Team, c.usedCPUs[job.Team], limit)
	}
}

// taskEnded removes a task from its machine and its processors from those that its team uses, and
// checks the cancellation grace. It does nothing if the task is not on the machine.
func (c *checker) taskEnded(machine protocol.MachineID, task protocol.TaskID, at time.Duration) {
	if !c.tasksOn[machine][task] {
		return
	}
	delete(c.tasksOn[machine], task)
	if c.machineOf[task] == machine {
		delete(c.machineOf, task)
	}
	job := c.jobs[task.Job]
	c.usedCPUs[job.Team] -= job.CPUs
	c.checkCancelGrace(machine, task, at)
}

// checkCancelGrace checks that a task did not run on a machine for longer than the grace
// period after the cancellation of its job was confirmed.
func (c *checker) checkCancelGrace(machine protocol.MachineID, task protocol.TaskID, until time.Duration) {
	if confirmed, ok := c.cancelConfirmed[task.Job]; ok && until > confirmed+c.cancelGrace() {
		c.addViolation(RuleRanCancelled, until, "%v still runs on %s %v after its cancellation was confirmed", task, machine, until-confirmed)
	}
}

// cancelGrace returns how long tasks may keep running after a confirmed cancellation.
func (c *checker) cancelGrace() time.Duration {
	return time.Duration(c.requirements.CancelGraceS * float64(time.Second))
}

// checkRemainingTasks checks the cancellation grace of the tasks that still run at the end of
// the run.
func (c *checker) checkRemainingTasks() {
	for task, machine := range c.machineOf {
		c.checkCancelGrace(machine, task, c.lastEvent)
	}
}
