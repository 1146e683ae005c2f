package placement

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/controller/clock"
	"damsonkeel/internal/controller/clusterstate"
	"damsonkeel/internal/controller/holds"
	"damsonkeel/internal/controller/jobs"
	"damsonkeel/internal/controller/waittable"
	"damsonkeel/internal/controller/workload"
	"damsonkeel/internal/fake"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// newPlacer returns the placer of node-0, which holds its lease in a view with the given
// other members.
func newPlacer(t testing.TB, others ...protocol.NodeName) *Placer {
	t.Helper()
	settings := fake.Settings()
	settings.Name = "node-0"
	module := clusterstate.NewModule(settings, config.DefaultOperator(), slog.New(slog.DiscardHandler))
	rng := rand.New(rand.NewPCG(1, 1))
	table := waittable.New(module, rng)
	table.Reset()
	work := workload.New(module, table)
	work.Reset()
	owned := jobs.New(module, table, work, rng)
	owned.Reset()
	reservations := holds.New(module, table, owned.JobProgress, func() {})
	reservations.Reset()
	placer := New(module, table, work, reservations, owned, rng)
	placer.Reset()
	placer.Now, placer.LeaseDeadline = clock.Time(time.Second), clock.Time(time.Hour)
	placer.Types = map[protocol.MachineType]protocol.TypeInfo{"small": {Name: "small", CPUs: 4, MemoryGB: 16, BootS: 8}}
	placer.RefreshPrices()
	placer.Session = 100
	placer.View = record.View{Term: 1, Members: map[protocol.NodeName]protocol.LeaseID{"node-0": 100}}
	for i, name := range others {
		placer.View.Members[name] = protocol.LeaseID(101 + i)
	}
	table.AdoptPeers(placer.View)
	return placer
}
