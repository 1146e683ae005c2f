package compat

import (
	"testing"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"

	"github.com/bits-and-blooms/bitset"
)

// TestRecords checks the records of the state service. That of held room is checked
// beside its type.
func TestRecords(t *testing.T) {
	checkMessages(t, cborFormat, []message{
		entry[bookkeeping.Node, cborNode]("node"),
		entry[bookkeeping.Block, cborBlock]("block"),
		entry[bookkeeping.Machine, cborMachine]("machine"),
		entry[protocol.Job, cborJob]("job"),
		entry[bookkeeping.JobRecord, cborJobRecord]("job_record"),
		entry[bookkeeping.Bits, cborBits]("bits"),
		entry[bookkeeping.Calendar, cborCalendar]("calendar"),
		entry[bookkeeping.Reservation, cborReservation]("reservation"),
		entry[bookkeeping.Window, cborWindow]("window"),
		entry[bookkeeping.Configuration, cborConfiguration]("configuration"),
		entry[bookkeeping.ConfigurationEntry, cborConfigurationEntry]("configuration_entry"),
		entry[bookkeeping.ConfigurationChange, cborConfigurationChange]("configuration_change"),
	})
}

// TestViewRecord checks both forms of a view's record.
func TestViewRecord(t *testing.T) {
	checkValues(t, cborFormat, "view_single",
		bookkeeping.View{
			Term: 7, Members: map[protocol.NodeName]protocol.LeaseID{"a": 11, "b": 12},
			Deaf: []protocol.NodeName{"b"}, Layout: bookkeeping.LayoutSingle,
		},
		cborSingleView{Term: 7, Members: map[string]uint64{"a": 11, "b": 12}, Deaf: []string{"b"}})
	checkValues(t, cborFormat, "view",
		bookkeeping.View{
			Term: 7, Members: map[protocol.NodeName]protocol.LeaseID{"a": 11, "b": 12},
			Deaf: []protocol.NodeName{"b"}, Layout: bookkeeping.LayoutConfiguration,
		},
		cborView{Term: 7, Members: "who", Who: map[string]uint64{"a": 11, "b": 12}, Deaf: []string{"b"}, Layout: 4})
}

// TestSharesRecord checks the record of shares, which is written in columns.
func TestSharesRecord(t *testing.T) {
	checkValues(t, cborFormat, "shares",
		bookkeeping.Shares{
			Epoch: 9, Zones: []protocol.Zone{"x", "y"}, Slots: 2, Away: []protocol.NodeName{"c"},
			List: []bookkeeping.ShareState{
				{Holder: 21, Since: 1, Epoch: 2}, {Holder: 22, Since: 3, Epoch: 4},
				{Holder: 21, Since: 5, Epoch: 6}, {Holder: 23, Since: 7, Epoch: 8},
			},
		},
		cborShares{
			Epoch: 9, Zones: []string{"x", "y"}, Slots: 2, Away: []string{"c"}, Sessions: []uint64{21, 22, 23},
			Holders: []int{0, 1, 0, 2}, Since: []uint64{1, 3, 5, 7}, Epochs: []uint64{2, 4, 6, 8},
		})
}

// TestBitmapText checks the text of a chunk of a bitmap.
func TestBitmapText(t *testing.T) {
	const key, text = "bits/job-1/1", "AQI" // bits 0 and 9, of the chunk that begins at 32768
	done := bitset.New(0).Set(5).Set(32768).Set(32768 + 9)
	if got := bookkeeping.EncodeChunk(done, 1).Bits; got != text {
		t.Errorf("chunk 1 is %q, want %q", got, text)
	}
	read := bitset.New(0)
	if err := bookkeeping.DecodeChunk(key, bookkeeping.Bits{Bits: text}, read, 40_000); err != nil {
		t.Fatal(err)
	}
	if want := bitset.New(0).Set(32768).Set(32768 + 9); !read.Equal(want) {
		t.Errorf("%q is read as %v, want %v", text, read, want)
	}
}

// TestKeys checks the keys of all records.
func TestKeys(t *testing.T) {
	for _, key := range []struct{ got, want string }{
		{bookkeeping.FollowedPrefix, "c/"},
		{bookkeeping.ViewKey, "c/view"},
		{bookkeeping.SharesKey, "c/shares"},
		{bookkeeping.CalendarKey, "c/calendar"},
		{bookkeeping.HeldKey, "c/held"},
		{bookkeeping.ConfigurationKey, "c/config/revision"},
		{bookkeeping.ConfigurationHistoryPrefix, "config/history/"},
		{bookkeeping.NodeKey("n"), "c/node/n"},
		{bookkeeping.LiveKey("job-1"), "c/live/job-1"},
		{bookkeeping.JobKey("job-1"), "job/job-1"},
		{bookkeeping.BlockKey("00000012"), "c/block/00000012"},
		{bookkeeping.BlockName(12), "00000012"},
		{bookkeeping.MachineKey("m"), "c/mach/m"},
		{bookkeeping.BitsPrefix("job-1"), "bits/job-1/"},
		{bookkeeping.BitsKey("job-1", 3), "bits/job-1/3"},
		{bookkeeping.ReservationKey("r"), "c/reservation/r"},
		{bookkeeping.WindowKey("w"), "c/window/w"},
		{string(bookkeeping.NewEntryID(bookkeeping.EntryTeam, "t/u")), "team/t/u"},
		{bookkeeping.ConfigurationEntryKey("team/t"), "c/config/entry/team/t"},
		{bookkeeping.ConfigurationHistoryKey(7), "config/history/007"},
		{bookkeeping.ConfigurationHistoryKey(407), "config/history/007"},
	} {
		if key.got != key.want {
			t.Errorf("key %q, want %q", key.got, key.want)
		}
	}
}

// TestFollowedKeys checks what followed keys are read as.
func TestFollowedKeys(t *testing.T) {
	for key, want := range map[string]bookkeeping.Followed{
		"c/view":                {View: true},
		"c/shares":              {Shares: true},
		"c/calendar":            {Calendar: true},
		"c/held":                {Held: true},
		"c/config/revision":     {Configuration: true},
		"c/config/entry/team/t": {ConfigurationEntry: "team/t"},
		"c/node/n":              {Node: "n"},
		"c/live/job-1":          {Job: "job-1"},
		"c/block/00000012":      {Block: "00000012"},
		"c/mach/m":              {Machine: "m"},
		"c/reservation/r":       {Reservation: "r"},
		"c/window/w":            {Window: "w"},
	} {
		if got, ok := bookkeeping.ParseFollowed(key); !ok || got != want {
			t.Errorf("key %q is read as %+v (%v), want %+v", key, got, ok, want)
		}
	}
	if got := bookkeeping.BlockNumber("00000012"); got != 12 {
		t.Errorf("block 00000012 has number %d", got)
	}
	if got, ok := bookkeeping.ChunkNumber("bits/job-1/3"); !ok || got != 3 {
		t.Errorf("bits/job-1/3 is of chunk %d (%v)", got, ok)
	}
	if kind, name := bookkeeping.EntryID("team/t/u").Split(); kind != bookkeeping.EntryTeam || name != "t/u" {
		t.Errorf("entry team/t/u is split into %q and %q", kind, name)
	}
}
