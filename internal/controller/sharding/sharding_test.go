package sharding

import (
	"fmt"
	"os"
	"testing"

	"damsonkeel/internal/fixedseed"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// drawShardsAndMembers draws a shard table whose shards are held by any of the members or
// by none, the load of each shard, and the members.
func drawShardsAndMembers(t *rapid.T) (*record.ShardTable, []float64, []Member) {
	zones := []protocol.Zone{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
	table := InitialTable(zones)
	machines := map[protocol.Zone]int{}
	for _, z := range zones {
		machines[z] = rapid.IntRange(0, 2000).Draw(t, "machines")
	}
	var members []Member
	for i := range rapid.IntRange(1, 5).Draw(t, "members") {
		m := Member{
			Name:    protocol.NodeName(fmt.Sprint("n", i)),
			Session: protocol.LeaseID(10 + i),
			Weight:  rapid.SampledFrom([]float64{1, 1, 1, 0.5, 0.25, 0}).Draw(t, "weight"),
		}
		if rapid.IntRange(0, 3).Draw(t, "zoned") > 0 {
			m.Zone = zones[rapid.IntRange(0, len(zones)-1).Draw(t, "zone")]
		}
		members = append(members, m)
	}
	members[0].Weight = 1
	for id := range table.List {
		if n := rapid.IntRange(0, len(members)).Draw(t, "holder"); n > 0 {
			Assign(table, ID(id), members[n-1].Session)
		}
	}
	return table, Loads(table, machines), members
}
