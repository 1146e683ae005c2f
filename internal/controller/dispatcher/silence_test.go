package dispatcher

import (
	"testing"
	"time"

	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/message"
)

// TestNoMachineIsSilentAfterOutage checks that a controller that was not allowed to answer
// workers does not consider them silent as soon as it is allowed again.
func TestNoMachineIsSilentAfterOutage(t *testing.T) {
	f := newFixture(t)
	f.registerAndSendHeartbeat()
	f.dispatcher.LeaseDeadline = f.dispatcher.Now
	for range 40 {
		f.dispatcher.Now += clock.Time(time.Second)
		f.dispatcher.ExpireSilentMachines(true, 0)
	}
	f.dispatcher.LeaseDeadline = f.dispatcher.Now + clock.Time(time.Minute)
	if f.dispatcher.ExpireSilentMachines(true, 0); f.queue().silence != message.SilenceNone {
		t.Error("machine published as silent right after the outage")
	}
	for range 30 {
		f.dispatcher.Now += clock.Time(time.Second)
		f.dispatcher.ExpireSilentMachines(true, 0)
	}
	if f.queue().silence != message.SilenceLong {
		t.Error("silent machine not published as silent")
	}
}
