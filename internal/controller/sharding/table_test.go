package sharding

import (
	"fmt"
	"testing"

	"damsonkeel/internal/protocol"
)

// TestMachineShardIsInItsZone checks that a machine's shard is in its zone, that all
// shards of a zone are used, and that a machine of an unknown zone has a shard too.
func TestMachineShardIsInItsZone(t *testing.T) {
	table := InitialTable([]protocol.Zone{"b", "a", "b"})
	used := map[ID]bool{}
	for i := range 2000 {
		m := protocol.MachineID(fmt.Sprintf("vm-%06d", i))
		id := ShardOf(table, m, "b")
		if used[id] = true; ZoneOf(table, id) != "b" {
			t.Fatalf("%s in zone %s", m, ZoneOf(table, id))
		}
		if id := ShardOf(table, m, "elsewhere"); int(id) >= len(table.List) {
			t.Fatalf("shard %d", id)
		}
	}
	if len(used) != shardsPerZone {
		t.Errorf("%d shards of a zone are used", len(used))
	}
}
