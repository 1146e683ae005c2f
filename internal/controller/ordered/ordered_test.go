package ordered

import (
	"slices"
	"testing"

	"damsonkeel/internal/protocol"
)

// TestByKeyIteratesInKeyOrder checks that entries are visited in the order of their keys, and
// that entries that the loop has deleted are not visited.
func TestByKeyIteratesInKeyOrder(t *testing.T) {
	m := map[string]int{"c": 3, "a": 1, "b": 2, "d": 4}
	var values []int
	for key, value := range ByKey(m) {
		values = append(values, value)
		if key == "a" {
			delete(m, "c")
		}
	}
	if want := []int{1, 2, 4}; !slices.Equal(values, want) {
		t.Errorf("%v, want %v", values, want)
	}
}

// TestTasksIteratesByJobThenIndex checks that tasks are visited in the order of their jobs,
// then of their indexes, and that TasksWhere visits the matching ones only.
func TestTasksIteratesByJobThenIndex(t *testing.T) {
	m := map[protocol.TaskID]bool{
		{Job: "b", Index: 1}:  true,
		{Job: "a", Index: 10}: true,
		{Job: "a", Index: 9}:  false,
	}
	var tasks []protocol.TaskID
	for task := range Tasks(m) {
		tasks = append(tasks, task)
	}
	want := []protocol.TaskID{{Job: "a", Index: 9}, {Job: "a", Index: 10}, {Job: "b", Index: 1}}
	if !slices.Equal(tasks, want) {
		t.Errorf("%v, want %v", tasks, want)
	}
	tasks = nil
	for task := range TasksWhere(m, func(_ protocol.TaskID, match bool) bool { return match }) {
		tasks = append(tasks, task)
	}
	if !slices.Equal(tasks, want[1:]) {
		t.Errorf("%v match, want %v", tasks, want[1:])
	}
}
