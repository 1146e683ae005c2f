package capacity

import (
	"testing"

	"damsonkeel/internal/scale/siteconfig"
)

// TestCheckRejectsExcessiveNeed checks that a run is rejected if it needs more processes than
// allowed, more than its fraction of the machine's memory, or more open files than the limit.
func TestCheckRejectsExcessiveNeed(t *testing.T) {
	site, err := siteconfig.LoadSite("../../../deploy/scale-target.toml")
	if err != nil {
		t.Fatal(err)
	}
	need := Estimate(site)
	sufficient := Machine{Cores: 8, MemoryMB: 2*need.MemoryMB + 1, Files: need.Files}
	if err := need.Check(sufficient); err != nil {
		t.Error(err)
	}
	for _, change := range []func(*Machine){
		func(m *Machine) { m.MemoryMB -= 2 },
		func(m *Machine) { m.Files-- },
	} {
		m := sufficient
		if change(&m); need.Check(m) == nil {
			t.Errorf("no error for need %+v on machine %+v", need, m)
		}
	}
	if need.Processes = maxProcesses + 1; need.Check(sufficient) == nil {
		t.Error("no error for too many processes")
	}
}
