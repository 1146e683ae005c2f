package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"damsonkeel/internal/protocol"
)

// ByKey returns an iterator over the entries of a map in ascending order of its keys. The order
// is determined at the call.
func ByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return byKeys(m, slices.Sorted(maps.Keys(m)))
}

// Tasks returns an iterator over the entries of a map in the order of the tasks that are its keys:
// by job, then by index.
func Tasks[V any](m map[protocol.TaskID]V) iter.Seq2[protocol.TaskID, V] {
	return byKeys(m, slices.SortedFunc(maps.Keys(m), compareTasks))
}

// TasksWhere returns an iterator like Tasks over the entries that match a condition at the time
// of the call. Only these entries are sorted.
func TasksWhere[V any](m map[protocol.TaskID]V, match func(protocol.TaskID, V) bool) iter.Seq2[protocol.TaskID, V] {
	var tasks []protocol.TaskID
	for task, v := range m {
		if match(task, v) {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, compareTasks)
	return byKeys(m, tasks)
}

func compareTasks(a, b protocol.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// byKeys iterates over the entries of a map in the order of the given keys. It skips keys
// that the map no longer contains when they are reached.
func byKeys[K comparable, V any](m map[K]V, keys []K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range keys {
			if v, ok := m[key]; ok && !yield(key, v) {
				return
			}
		}
	}
}
