package server

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"damsonkeel/internal/protocol"
)

const (
	// keptChanges is the minimum number of recent changes that the key-value store keeps
	// for watches. Older changes are dropped once there are twice as many.
	keptChanges = 10_000
	// maxWatchTime is the maximum time that a watch waits for a change.
	maxWatchTime = 60 * time.Second
)

// notifyWatches wakes up all watches, so that they look for changes, and drops all but the
// keptChanges latest changes once there are more than twice as many. The lock is held.
func (s *StateService) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
	if count := s.state.Changes(); count-s.state.CompactedChanges > 2*keptChanges {
		s.state.Compact(count - keptChanges)
	}
}

// watch serves the changes, after the revision in the query field "from", of keys with the
// prefix in "starts". If there are none, it waits for one, but no longer than the milliseconds
// in "hold_ms" and maxWatchTime, and then serves an empty list. It responds with status 410 if
// changes after the revision may have been dropped.
func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	deadline := time.NewTimer(min(time.Duration(holdMS)*time.Millisecond, maxWatchTime))
	defer deadline.Stop()
	for expired := false; ; {
		events, changed, known := s.changesSince(from, query.Get("starts"))
		if !known {
			writeResponse(w, http.StatusGone, protocol.ErrorBody{Error: "the revision is too old"})
			return
		}
		if len(events.Events) > 0 || expired {
			writeResponse(w, http.StatusOK, events)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of keys with a prefix after the revision from, and a channel
// that is closed at the next change. The result known is false if the store no longer has
// all changes after the revision.
func (s *StateService) changesSince(from uint64, prefix string) (events protocol.Events, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = protocol.Events{Revision: s.state.Revision, Events: []protocol.Event{}}
	first := s.state.Changes()
	for first > s.state.CompactedChanges && uint64(s.state.Change(first-1).Version) > from {
		first--
	}
	if first == s.state.CompactedChanges && first > 0 {
		return events, nil, false
	}
	for i := first; i < s.state.Changes(); i++ {
		if ev := s.state.Change(i); strings.HasPrefix(ev.Put+ev.Delete, prefix) {
			events.Events = append(events.Events, ev)
		}
	}
	events.Events = slices.Clip(events.Events)
	return events, s.changed, true
}
