package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// TestMachinesThatNeverBoot: from some moment on no machine of one type comes up, and
// those of the other take five times as long. Work goes on on the other type; what
// does not come up is terminated, and neither requested nor paid for without bound.
func TestMachinesThatNeverBoot(t *testing.T) {
	t.Parallel()
	w := newWorld(t.Fatalf, 41, fake.Settings(), 40, 6)
	provisionedAt, requested, neverBooting, maxPaidFor := map[protocol.MachineID]time.Duration{}, 0, map[protocol.MachineID]bool{}, 0
	w.ageS = func(id protocol.MachineID) float64 { return (w.now - provisionedAt[id]).Seconds() }
	w.onProvisioned = func(id protocol.MachineID, r protocol.ProvisionRequest) {
		provisionedAt[id] = w.now
		if r.Type == "large" {
			requested++
			neverBooting[id] = true
		}
	}
	w.bootTime = func(r protocol.ProvisionRequest) time.Duration {
		if r.Type == "large" {
			return 24 * time.Hour
		}
		return 40 * time.Second // the catalogue says 8
	}
	w.run(3 * time.Second)
	for range 120 {
		w.submit(protocol.Job{Class: "array", Team: "free", Kind: protocol.KindJobArray, Priority: "standard", Tasks: 40, CPUs: 2, EstimateS: 5, Spot: true})
		w.run(w.now + 3*time.Second)
		paidFor := 0
		for id := range neverBooting {
			if _, exists := w.cloud.Machines[id]; exists {
				paidFor++
			}
		}
		maxPaidFor = max(maxPaidFor, paidFor)
	}
	w.expectAllFinished(t, 400*time.Second)
	w.run(w.now + 120*time.Second)
	remaining := 0
	for id := range neverBooting {
		if _, exists := w.cloud.Machines[id]; exists {
			remaining++
		}
	}
	t.Logf("%d of the type that never comes were asked for, at most %d at a time; %d are left", requested, maxPaidFor, remaining)
	if remaining > 0 {
		t.Errorf("%d machines that never came up are still paid for two minutes after all work is over", remaining)
	}
	if requested > 6*40 {
		t.Errorf("%d machines of a type that never comes up were asked for in eight minutes, with room for 46", requested)
	}
}
