package dispatcher

import "damsonkeel/internal/protocol"

// entrySet holds the attempts in a queue or on its machine, one for each task.
type entrySet struct {
	entries       map[protocol.TaskID]*entry // changed by addEntry and removeEntry alone
	attemptsOfJob map[protocol.JobID]int     // how many of these
}

func newEntrySet() entrySet {
	return entrySet{entries: map[protocol.TaskID]*entry{}, attemptsOfJob: map[protocol.JobID]int{}}
}

// addEntry adds an attempt, in place of another of its task if there is one.
func (s *entrySet) addEntry(e *entry) {
	if s.entries[e.task] == nil {
		s.attemptsOfJob[e.task.Job]++
	}
	s.entries[e.task] = e
}

// removeEntry forgets a task's attempt.
func (s *entrySet) removeEntry(id protocol.TaskID) {
	if s.entries[id] == nil {
		return
	}
	delete(s.entries, id)
	if s.attemptsOfJob[id.Job]--; s.attemptsOfJob[id.Job] == 0 {
		delete(s.attemptsOfJob, id.Job)
	}
}
