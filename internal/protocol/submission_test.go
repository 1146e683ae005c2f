package protocol

import (
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// wireJob returns a valid submission by wire field names.
func wireJob() map[string]any {
	return map[string]any{
		"id": "job-000412", "berth": "train", "crew": "vision", "rig": "gang", "tide": "high", "hauls": 16,
		"cores": 8.0, "gpus": 1.0, "memory_gb": 64.0, "hullcast": "img-07", "image_gb": 6.2,
		"hulls": []string{"g8"}, "quay": nil, "together": true, "scatter": false, "driftstock": true,
		"passage_s": 240.0, "logmark_s": 30.0, "stow_s": 4.0, "landfall_s": 900.0,
	}
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatal(...any)
}

func encode(t fataler, v any) []byte {
	t.Helper()
	b, err := Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestSubmissionsRoundTrip checks that a parsed submission is the same job after it was
// stored and read, and after it was encoded and submitted again.
func TestSubmissionsRoundTrip(t *testing.T) {
	j, err := ParseSubmission(encode(t, wireJob()))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "job-000412" || j.Tasks != 16 || !j.OneZone || j.Types[0] != "g8" || j.Zone != "" || j.DeadlineS != 900 {
		t.Fatalf("%+v", j)
	}
	// The stored record decodes to the same job.
	var stored Job
	if err := Decode(encode(t, j), &stored); err != nil {
		t.Fatal(err)
	}
	resubmission, err := EncodeSubmission(j)
	if err != nil {
		t.Fatal(err)
	}
	if submitted, err := ParseSubmission(resubmission); err != nil || !reflect.DeepEqual(submitted, j) {
		t.Fatalf("submitted again: %+v, %v", submitted, err)
	}
	if stored.ID != j.ID || stored.CPUs != j.CPUs || stored.Types[0] != j.Types[0] {
		t.Fatalf("%+v", stored)
	}
}

// TestBadSubmissionsAreRefused checks that submissions with a missing or invalid field are
// refused. A field that is null counts as missing; unknown fields are ignored.
func TestBadSubmissionsAreRefused(t *testing.T) {
	optional := map[string]bool{"hulls": true, "quay": true, "landfall_s": true}
	for field := range wireJob() {
		for _, null := range []bool{false, true} {
			m := wireJob()
			m["unknown"] = []any{1, "x"}
			if null {
				m[field] = nil
			} else {
				delete(m, field)
			}
			if _, err := ParseSubmission(encode(t, m)); (err == nil) != optional[field] {
				t.Errorf("submission without %s: error %v", field, err)
			}
		}
	}
	bad := map[string][]any{
		"id": {"", "job-", "work-1", "job-1/2", "job-1 2", 7}, "rig": {"", "other"}, "tide": {"urgent"},
		"hauls":      {0, -1, 100001, 1.5, "3"},
		"cores":      {-1.0, math.NaN(), math.Inf(1), 1e300, "8"},
		"hulls":      {[]string{}, []any{1}, "g8"},
		"landfall_s": {math.NaN(), -5.0}, "together": {1, "true"}, "crew": {[]byte("binary")},
	}
	for field, values := range bad {
		for _, v := range values {
			m := wireJob()
			m[field] = v
			if _, err := ParseSubmission(encode(t, m)); err == nil {
				t.Errorf("%s %v: accepted", field, v)
			}
		}
	}
	deep := any(1)
	for range 40 {
		deep = []any{deep}
	}
	m := wireJob()
	m["unknown"] = deep
	if _, err := ParseSubmission(encode(t, m)); err == nil {
		t.Error("deep nesting accepted")
	}
	if _, err := ParseSubmission([]byte("\xa2\x62id\x65job-1\x62id\x65job-2")); err == nil {
		t.Error("duplicate field accepted")
	}
}

// TestDecodersHandleCorruptedInput checks that corrupted input neither crashes a decoder nor
// passes its checks with invalid values.
func TestDecodersHandleCorruptedInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := encode(t, wireJob())
		for range rapid.IntRange(0, 8).Draw(t, "edits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		b = b[:rapid.IntRange(0, len(b)).Draw(t, "cut")]
		if j, err := ParseSubmission(b); err == nil && (j.Tasks < 1 || j.Tasks > MaxTasks || !(j.CPUs >= 0)) {
			t.Fatalf("accepted an invalid job %+v", j)
		}
		if r, err := ParseHeartbeat(b); err == nil && r.Machine == "" {
			t.Fatal("accepted a heartbeat without a machine")
		}
	})
}

// TestTaskIDsRoundTrip checks that a formatted task id parses to the same id, and that
// malformed ids are refused.
func TestTaskIDsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{JobID(rapid.StringMatching(`job-[0-9]{1,12}`).Draw(t, "job")), rapid.Uint32Range(0, MaxTasks-1).Draw(t, "index")}
		if parsed, err := ParseTaskID(id.String()); err != nil || parsed != id {
			t.Fatalf("%v: %v, %v", id, parsed, err)
		}
	})
	for _, s := range []string{"", "job-1", "job-1/", "job-1/-1", "job-1/01", "job-1/100000", "x/1", "job-1/1/2"} {
		if id, err := ParseTaskID(s); err == nil {
			t.Errorf("%q accepted as %v", s, id)
		}
	}
}
