package replication

import (
	"os"
	"testing"

	"damsonkeel/internal/fixedseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// message is a piece with the states that its keys had when it was sent.
type message struct {
	Range
	states map[int]int
}

// TestReplicaConverges: whatever is lost, repeated, held back or overtaken, a
// receiver's state of each key is one that the sender's key had, never goes
// back, and is the present one for all that its number covers; once all comes
// through again it soon has everything.
func TestReplicaConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Log[int]
		var cur Cursor
		var rep Replica
		stream := uint64(1)
		rep.Begin(stream)
		now, held := map[int]int{}, map[int]int{}
		var wire []message
		send := func() {
			keys, upto := l.Since(cur.Next(), rapid.IntRange(1, 5).Draw(t, "most"))
			m := message{Range{stream, cur.Next(), upto}, map[int]int{}}
			for _, k := range keys {
				m.states[k] = now[k]
			}
			cur.Sent(upto)
			wire = append(wire, m)
		}
		take := func(m message) {
			if !rep.Accept(m.Range) {
				return
			}
			for k, v := range m.states {
				if v < held[k] {
					t.Fatalf("key %d goes back from %d to %d", k, held[k], v)
				}
				held[k] = v
			}
			for k, c := range l.at {
				if c.number <= rep.Have() && held[k] != now[k] {
					t.Fatalf("key %d: %d held, %d is covered by number %d", k, held[k], now[k], rep.Have())
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				k := rapid.IntRange(0, 6).Draw(t, "key")
				now[k]++
				l.Touch(k)
			case 2:
				send()
			case 3, 4: // delivered, perhaps out of order, perhaps to come again
				if len(wire) > 0 {
					i := rapid.IntRange(0, len(wire)-1).Draw(t, "which")
					take(wire[i])
					if rapid.Bool().Draw(t, "once") {
						wire = append(wire[:i:i], wire[i+1:]...)
					}
				}
			case 5: // lost
				if len(wire) > 0 {
					wire = wire[1:]
				}
			case 6:
				cur.Acknowledged(rep.Have())
			}
		}
		for range 40 {
			cur.Acknowledged(rep.Have())
			wire = nil
			send()
			take(wire[0])
		}
		for k, v := range now {
			if held[k] != v {
				t.Fatalf("key %d: %d held in the end, want %d", k, held[k], v)
			}
		}
	})
}

// TestSinceLooksAtChanges: changes come once each, the oldest first; what was
// dropped does not.
func TestSinceLooksAtChanges(t *testing.T) {
	var l Log[string]
	for _, k := range []string{"a", "b", "c", "a", "d", "d"} {
		l.Touch(k)
	}
	l.Drop("c")
	for _, tc := range []struct {
		after uint64
		most  int
		want  []string
		upto  uint64
	}{
		{0, 9, []string{"b", "a", "d"}, 6}, {0, 1, []string{"b"}, 2}, {2, 1, []string{"a"}, 4}, {4, 9, []string{"d"}, 6}, {6, 9, nil, 6},
	} {
		keys, upto := l.Since(tc.after, tc.most)
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
