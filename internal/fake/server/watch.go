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
	// keptChanges is how many changes the key-value store keeps for watches.
	keptChanges = 10_000
	// maxWatch is how long a watch stays open at the most.
	maxWatch = 60 * time.Second
)

// notifyWatches lets watches look for changes again, and drops old changes. The lock is
// held.
func (s *StateService) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
	if count := s.state.Changes(); count-s.state.Before > 2*keptChanges {
		s.state.Forget(count - keptChanges)
	}
}

// watch answers with what changed after a revision, or waits for a change.
func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
	deadline := time.NewTimer(min(time.Duration(holdMS)*time.Millisecond, maxWatch))
	defer deadline.Stop()
	for expired := false; ; {
		events, changed, known := s.since(from, query.Get("starts"))
		if !known {
			answer(w, http.StatusGone, protocol.ErrorBody{Error: "the revision is too old"})
			return
		}
		if len(events.Events) > 0 || expired {
			answer(w, http.StatusOK, events)
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

// since lists what changed under a prefix after a revision, and returns a channel that
// is closed at the next change. Known is false if the revision is too old.
func (s *StateService) since(from uint64, prefix string) (events protocol.Events, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = protocol.Events{Revision: s.state.Revision, Events: []protocol.Event{}}
	first := s.state.Changes()
	for first > s.state.Before && uint64(s.state.Change(first-1).Version) > from {
		first--
	}
	if first == s.state.Before && first > 0 {
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
