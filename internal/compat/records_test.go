package compat

import (
	"testing"

	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"

	"github.com/bits-and-blooms/bitset"
)

// TestRecords checks the encodings of the records of the key-value store. A test of package
// controller checks the encoding of the record of reservation holds.
func TestRecords(t *testing.T) {
	checkMessages(t, cborFormat, []message{
		entry[record.Node, cborNode]("node"),
		entry[record.Block, cborBlock]("block"),
		entry[record.Machine, cborMachine]("machine"),
		entry[protocol.Job, cborJob]("job"),
		entry[record.JobRecord, cborJobRecord]("job_record"),
		entry[record.BitmapChunk, cborBits]("bits"),
		entry[record.Calendar, cborCalendar]("calendar"),
		entry[record.Reservation, cborReservation]("reservation"),
		entry[record.Window, cborWindow]("window"),
		entry[record.Configuration, cborConfiguration]("configuration"),
		entry[record.ConfigurationEntry, cborConfigurationEntry]("configuration_entry"),
		entry[record.ConfigurationChange, cborConfigurationChange]("configuration_change"),
	})
}

// TestViewRecord checks both encodings of the view record.
func TestViewRecord(t *testing.T) {
	checkValues(t, cborFormat, "view_single",
		record.View{
			Term: 7, Members: map[protocol.NodeName]protocol.LeaseID{"a": 11, "b": 12},
			Deaf: []protocol.NodeName{"b"}, Layout: record.LayoutSingle,
		},
		cborSingleView{Term: 7, Members: map[string]uint64{"a": 11, "b": 12}, Deaf: []string{"b"}})
	checkValues(t, cborFormat, "view",
		record.View{
			Term: 7, Members: map[protocol.NodeName]protocol.LeaseID{"a": 11, "b": 12},
			Deaf: []protocol.NodeName{"b"}, Layout: record.LayoutConfiguration,
		},
		cborView{Term: 7, Members: "who", Who: map[string]uint64{"a": 11, "b": 12}, Deaf: []string{"b"}, Layout: 4})
}

// TestShardTableRecord checks the encoding of the shard table, whose record has one array per
// column.
func TestShardTableRecord(t *testing.T) {
	checkValues(t, cborFormat, "shares",
		record.ShardTable{
			Epoch: 9, Zones: []protocol.Zone{"x", "y"}, Slots: 2, Away: []protocol.NodeName{"c"},
			List: []record.ShardAssignment{
				{Holder: 21, Since: 1, Epoch: 2},
				{Holder: 22, Since: 3, Epoch: 4},
				{Holder: 21, Since: 5, Epoch: 6},
				{Holder: 23, Since: 7, Epoch: 8},
			},
		},
		cborShares{
			Epoch: 9, Zones: []string{"x", "y"}, Slots: 2, Away: []string{"c"}, Sessions: []uint64{21, 22, 23},
			Holders: []int{0, 1, 0, 2}, Since: []uint64{1, 3, 5, 7}, Epochs: []uint64{2, 4, 6, 8},
		})
}

// TestBitmapText checks the text encoding of a chunk of a bitmap.
func TestBitmapText(t *testing.T) {
	const key, text = "bits/job-1/1", "AQI" // bits 0 and 9 of the chunk that starts at task 32768
	done := bitset.New(0).Set(5).Set(32768).Set(32768 + 9)
	if got := record.EncodeChunk(done, 1).Bits; got != text {
		t.Errorf("chunk 1 encoded as %q, want %q", got, text)
	}
	read := bitset.New(0)
	if err := record.DecodeChunk(key, record.BitmapChunk{Bits: text}, read, 40_000); err != nil {
		t.Fatal(err)
	}
	if want := bitset.New(0).Set(32768).Set(32768 + 9); !read.Equal(want) {
		t.Errorf("%q decoded as %v, want %v", text, read, want)
	}
}

// TestRecordKeys checks the keys and key prefixes of all records.
func TestRecordKeys(t *testing.T) {
	for _, key := range []struct{ got, want string }{
		{record.FollowedPrefix, "c/"},
		{record.ViewKey, "c/view"},
		{record.ShardTableKey, "c/shares"},
		{record.CalendarKey, "c/calendar"},
		{record.ReservationHoldsKey, "c/held"},
		{record.ConfigurationKey, "c/config/revision"},
		{record.ConfigurationHistoryPrefix, "config/history/"},
		{record.NodeKey("n"), "c/node/n"},
		{record.LiveKey("job-1"), "c/live/job-1"},
		{record.JobKey("job-1"), "job/job-1"},
		{record.BlockKey("00000012"), "c/block/00000012"},
		{record.BlockName(12), "00000012"},
		{record.MachineKey("m"), "c/mach/m"},
		{record.BitmapPrefix("job-1"), "bits/job-1/"},
		{record.BitmapChunkKey("job-1", 3), "bits/job-1/3"},
		{record.ReservationKey("r"), "c/reservation/r"},
		{record.WindowKey("w"), "c/window/w"},
		{string(record.NewEntryID(record.EntryTeam, "t/u")), "team/t/u"},
		{record.ConfigurationEntryKey("team/t"), "c/config/entry/team/t"},
		{record.ConfigurationHistoryKey(7), "config/history/007"},
		{record.ConfigurationHistoryKey(407), "config/history/007"},
	} {
		if key.got != key.want {
			t.Errorf("key %q, want %q", key.got, key.want)
		}
	}
}

// TestParseFollowedKeys checks how the keys that controllers follow are parsed.
func TestParseFollowedKeys(t *testing.T) {
	for key, want := range map[string]record.FollowedKey{
		"c/view":                {View: true},
		"c/shares":              {ShardTable: true},
		"c/calendar":            {Calendar: true},
		"c/held":                {ReservationHolds: true},
		"c/config/revision":     {Configuration: true},
		"c/config/entry/team/t": {ConfigurationEntry: "team/t"},
		"c/node/n":              {Node: "n"},
		"c/live/job-1":          {Job: "job-1"},
		"c/block/00000012":      {Block: "00000012"},
		"c/mach/m":              {Machine: "m"},
		"c/reservation/r":       {Reservation: "r"},
		"c/window/w":            {Window: "w"},
	} {
		if got, ok := record.ParseFollowedKey(key); !ok || got != want {
			t.Errorf("key %q parsed as %+v (%v), want %+v", key, got, ok, want)
		}
	}
	if got := record.BlockNumber("00000012"); got != 12 {
		t.Errorf("block 00000012 has number %d, want 12", got)
	}
	if got, ok := record.ChunkNumber("bits/job-1/3"); !ok || got != 3 {
		t.Errorf("bits/job-1/3 has chunk number %d (%v), want 3", got, ok)
	}
	if kind, name := record.EntryID("team/t/u").Split(); kind != record.EntryTeam || name != "t/u" {
		t.Errorf("entry team/t/u is split into %q and %q, want \"team\" and \"t/u\"", kind, name)
	}
}
