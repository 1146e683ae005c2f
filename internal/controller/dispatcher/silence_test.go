package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
)

// TestNobodyIsSilentDuringAnOutage: a controller that may not answer workers does not
// take them for silent afterwards.
func TestNobodyIsSilentDuringAnOutage(t *testing.T) {
	b := newBench(t)
	b.ready()
	b.dispatcher.LeaseDeadline = b.dispatcher.Now
	for range 40 {
		b.dispatcher.Now += clock.Time(time.Second)
		b.dispatcher.ExpireSilent(true, 0)
	}
	b.dispatcher.LeaseDeadline = b.dispatcher.Now + clock.Time(time.Minute)
	if b.dispatcher.ExpireSilent(true, 0); b.queue().silence != message.SilenceNone {
		t.Error("taken for silent")
	}
	for range 30 {
		b.dispatcher.Now += clock.Time(time.Second)
		b.dispatcher.ExpireSilent(true, 0)
	}
	if b.queue().silence != message.SilenceLong {
		t.Error("not taken for silent when it is")
	}
}
