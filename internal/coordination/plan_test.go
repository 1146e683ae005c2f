package coordination

import (
	"fmt"
	"testing"

	"damsonkeel/internal/protocol"
)

// rentsOf is how many machines are asked for.
func rentsOf(actions []Action) (n int) {
	for _, a := range actions {
		if r, ok := a.(Rent); ok {
			n += r.Request.Count
		}
	}
	return n
}

// TestPlanSharesMachines: what is there works off all jobs together. Each of
// several jobs alone could be done in time by it; reckoned one by one, none
// would ever ask for a machine.
func TestPlanSharesMachines(t *testing.T) {
	for _, tc := range []struct {
		jobs int
		rent bool
	}{{1, false}, {12, true}} {
		b := planner(t)
		b.c.types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 30, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
		for i := range 4 {
			b.ready(protocol.MachineID(fmt.Sprint("vm-", i)))
		}
		for i := range tc.jobs {
			b.job(protocol.JobID(fmt.Sprint("job-", i)), "free", 20) // 200 of the 480 processor seconds until another machine is up
		}
		b.relay()
		if n := rentsOf(b.relay()); (n > 0) != tc.rent {
			t.Errorf("%d jobs: %d machines asked for", tc.jobs, n)
		}
	}
}

// TestPlanAsksInSeveralRequests: a request names a bounded number of machines,
// so a large need takes several at a time, as many as the cloud answers.
func TestPlanAsksInSeveralRequests(t *testing.T) {
	b := planner(t)
	b.c.settings.Site.Cloud.RPS = 4
	b.c.types["small"] = protocol.TypeInfo{Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8, AllowZones: []protocol.Zone{"a"}, Price: 1, SpotPrice: 1}
	b.job("job-1", "free", 2000)
	rents, calls := 0, 0
	for range 2 {
		for _, a := range b.relay() {
			if r, ok := a.(Rent); ok {
				calls++
				rents += r.Request.Count
				if r.Request.Count > 50 {
					t.Errorf("%d in one request", r.Request.Count)
				}
			}
		}
	}
	if calls != 4 || rents != 200 {
		t.Errorf("%d machines in %d requests, want 200 in 4", rents, calls)
	}
}
