package replication

import (
	"os"
	"testing"

	"damsonkeel/internal/fixedseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// message is a range of changes with the states that its keys had when the message was
// sent.
type message struct {
	Range
	states map[int]int
}

// TestReplicaConverges: while messages are lost, repeated, delayed and reordered, a
// receiver's state of a key never goes back to an older one, and equals the sender's
// present state for every key whose last change has a number that the receiver has. Once
// messages arrive again, the receiver has all states after 40 messages.
func TestReplicaConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log ChangeLog[int]
		var cursor Cursor
		var replica Replica
		stream := uint64(1)
		replica.Begin(stream)
		current, received := map[int]int{}, map[int]int{}
		var inFlight []message
		send := func() {
			keys, upto := log.Since(cursor.SentUpTo(), rapid.IntRange(1, 5).Draw(t, "limit"))
			m := message{Range{stream, cursor.SentUpTo(), upto}, map[int]int{}}
			for _, k := range keys {
				m.states[k] = current[k]
			}
			cursor.MarkSent(upto)
			inFlight = append(inFlight, m)
		}
		receive := func(m message) {
			if !replica.Accept(m.Range) {
				return
			}
			for k, v := range m.states {
				if v < received[k] {
					t.Fatalf("key %d went back from state %d to %d", k, received[k], v)
				}
				received[k] = v
			}
			for k, c := range log.changes {
				if c.number <= replica.Have() && received[k] != current[k] {
					t.Fatalf("key %d: received state %d, want %d: the receiver has all changes up to %d", k, received[k], current[k], replica.Have())
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				k := rapid.IntRange(0, 6).Draw(t, "key")
				current[k]++
				log.Touch(k)
			case 2:
				send()
			case 3, 4: // deliver a message, possibly out of order or to be repeated
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
					receive(inFlight[i])
					if rapid.Bool().Draw(t, "once") {
						inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
					}
				}
			case 5: // lose the oldest message
				if len(inFlight) > 0 {
					inFlight = inFlight[1:]
				}
			case 6:
				cursor.HandleAcknowledgement(replica.Have())
			}
		}
		for range 40 {
			cursor.HandleAcknowledgement(replica.Have())
			inFlight = nil
			send()
			receive(inFlight[0])
		}
		for k, v := range current {
			if received[k] != v {
				t.Fatalf("key %d: received state %d in the end, want %d", k, received[k], v)
			}
		}
	})
}

// TestSinceListsChanges: every changed key is listed once, the oldest change first, and a
// dropped key is not listed.
func TestSinceListsChanges(t *testing.T) {
	var log ChangeLog[string]
	for _, k := range []string{"a", "b", "c", "a", "d", "d"} {
		log.Touch(k)
	}
	log.Drop("c")
	for _, tc := range []struct {
		after uint64
		limit int
		want  []string
		upto  uint64
	}{
		{0, 9, []string{"b", "a", "d"}, 6},
		{0, 1, []string{"b"}, 2},
		{2, 1, []string{"a"}, 4},
		{4, 9, []string{"d"}, 6},
		{6, 9, nil, 6},
	} {
		keys, upto := log.Since(tc.after, tc.limit)
		if len(keys) != len(tc.want) || upto != tc.upto {
			t.Fatalf("after %d: %v up to %d, want %v up to %d", tc.after, keys, upto, tc.want, tc.upto)
		}
		for i := range keys {
			if keys[i] != tc.want[i] {
				t.Fatalf("after %d: %v, want %v", tc.after, keys, tc.want)
			}
		}
	}
}
