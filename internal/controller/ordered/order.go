// Package ordered goes through maps in the order of their keys, so that a step
// does the same things in the same order each time it is played.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"damsonkeel/internal/protocol"
)

// Of goes through a map by its keys, so that a step does the same things
// in the same order each time it is played.
func Of[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return each(m, slices.Sorted(maps.Keys(m)))
}

// Tasks is Of for maps by task.
func Tasks[V any](m map[protocol.TaskID]V) iter.Seq2[protocol.TaskID, V] {
	return each(m, slices.SortedFunc(maps.Keys(m), byTask))
}

// TasksWhere is Tasks for those that a condition picks: no more than
// these are sorted.
func TasksWhere[V any](m map[protocol.TaskID]V, pick func(protocol.TaskID, V) bool) iter.Seq2[protocol.TaskID, V] {
	var keys []protocol.TaskID
	for k, v := range m {
		if pick(k, v) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, byTask)
	return each(m, keys)
}

func byTask(a, b protocol.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

func each[K comparable, V any](m map[K]V, keys []K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range keys {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}
