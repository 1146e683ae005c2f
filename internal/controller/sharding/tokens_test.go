package sharding

import (
	"testing"

	"pgregory.net/rapid"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// assignAsBefore and raiseAsBefore change a table as versions do that issue one token per epoch.
func assignAsBefore(table *record.ShardTable, id ID, holder protocol.LeaseID) {
	table.Epoch++
	table.List[id] = record.ShardAssignment{Holder: holder, Since: table.Epoch, Epoch: table.Epoch}
}

func raiseAsBefore(table *record.ShardTable, id ID) {
	table.Epoch++
	table.List[id].Epoch = table.Epoch
}

func TestTokensOfShardRiseAcrossVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := InitialTable([]protocol.Zone{"a"})
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			ids := rapid.SliceOfNDistinct(rapid.IntRange(0, len(table.List)-1), 1, 4, rapid.ID[int]).Draw(t, "shards")
			assigns, before := rapid.Bool().Draw(t, "assigns"), Copy(table)
			var moves []Move
			var shards []ID
			for _, id := range ids {
				shards = append(shards, ID(id))
				moves = append(moves, Move{Shard: ID(id), To: protocol.LeaseID(rapid.IntRange(1, 3).Draw(t, "holder"))})
			}
			switch earlier := rapid.Bool().Draw(t, "earlier version"); {
			case earlier && assigns:
				for _, move := range moves {
					assignAsBefore(table, move.Shard, move.To)
				}
			case earlier:
				for _, id := range shards {
					raiseAsBefore(table, id)
				}
			case assigns:
				AssignAll(table, moves)
			default:
				RaiseEpochs(table, shards)
			}
			for _, id := range shards {
				first := table.List[id].Epoch
				if assigns {
					first = table.List[id].Since
				}
				if first <= before.List[id].Epoch || table.List[id].Epoch > table.Epoch {
					t.Fatalf("shard %d: %+v after %+v, table %d", id, table.List[id], before.List[id], table.Epoch)
				}
			}
		}
	})
}
