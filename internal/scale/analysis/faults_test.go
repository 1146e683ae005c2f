package analysis

import (
	"testing"
	"time"
)

// TestRecoveryTimeOfStarts checks the time until about as many tasks start as before a fault,
// and the peak of starts per second.
func TestRecoveryTimeOfStarts(t *testing.T) {
	var starts []time.Duration
	for at := time.Duration(0); at < 60*time.Second; at += 100 * time.Millisecond {
		if at < 20*time.Second || at >= 30*time.Second {
			starts = append(starts, at)
		}
	}
	if got := recoveryTimeOfStarts(starts, 20*time.Second, 22*time.Second); got != 8 {
		t.Errorf("recovered after %v s, want 8", got)
	}
	if got := recoveryTimeOfStarts(starts[:200], 20*time.Second, 22*time.Second); got != NotRecovered {
		t.Errorf("recovered after %v s, want never", got)
	}
	if got := peakPerSecond(starts); got != 10 {
		t.Errorf("peak of %d starts per second, want 10", got)
	}
}
