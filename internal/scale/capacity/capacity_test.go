package capacity

import (
	"testing"

	"damsonkeel/internal/scale/siteconfig"
)

// TestCheckRejectsExcessiveNeed: a run that needs more than its fraction of the
// machine is rejected.
func TestCheckRejectsExcessiveNeed(t *testing.T) {
	site, err := siteconfig.LoadSite("../../../deploy/scale-target.toml")
	if err != nil {
		t.Fatal(err)
	}
	need := Estimate(site)
	roomy := Machine{Cores: 8, MemoryMB: 2*need.MemoryMB + 1, Files: need.Files}
	if err := need.Check(roomy); err != nil {
		t.Error(err)
	}
	for _, change := range []func(*Machine){
		func(m *Machine) { m.MemoryMB -= 2 },
		func(m *Machine) { m.Files-- },
	} {
		m := roomy
		if change(&m); need.Check(m) == nil {
			t.Errorf("%+v fits %+v", need, m)
		}
	}
	if need.Processes = maxProcesses + 1; need.Check(roomy) == nil {
		t.Error("too many processes fit")
	}
}
