package simulator

import (
	"testing"
	"time"

	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
)

// TestMachinesThatNeverBoot tests that jobs finish although no machine of one type boots
// and machines of the other type take five times as long to boot as the catalogue says.
// Machines that do not boot must be terminated, and must not be requested or paid for
// without bound.
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
		return 40 * time.Second // the catalogue says 8 s
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
	t.Logf("%d machines of the type that never boots were requested, at most %d at a time; %d remain", requested, maxPaidFor, remaining)
	if remaining > 0 {
		t.Errorf("%d machines that never booted are still paid for two minutes after all jobs have finished", remaining)
	}
	if requested > 6*40 {
		t.Errorf("%d machines of a type that never boots were requested in eight minutes, with a cloud capacity of 46", requested)
	}
}
