package admission

import (
	"testing"

	"damsonkeel/internal/controller/message"
	"damsonkeel/internal/protocol"
	"damsonkeel/internal/record"
)

// TestInvalidSubmissionIsRefused checks that a submission that lacks a field or can never
// run is refused, unless its job has a record already. No submission with an ID is refused
// while the store is unavailable.
func TestInvalidSubmissionIsRefused(t *testing.T) {
	set := func(k string, v any) func(map[string]any) { return func(m map[string]any) { m[k] = v } }
	cases := map[string]struct {
		body   []byte
		status int
	}{
		"not CBOR":                      {[]byte{0xff, 1}, 400},
		"empty":                         {nil, 400},
		"no id":                         {submission(t, "", nil), 400},
		"unknown team":                  {submission(t, "job-000001", set("crew", "nobody")), 422},
		"fits no machine type":          {submission(t, "job-000001", set("cores", 5.0)), 422},
		"unknown machine type":          {submission(t, "job-000001", set("hulls", []string{"huge"})), 422},
		"gang above the team's limit":   {submission(t, "job-000001", func(m map[string]any) { m["crew"], m["rig"], m["hauls"], m["cores"] = "bound", "gang", 3, 2.0 }), 422},
		"array within the team's limit": {submission(t, "job-000001", func(m map[string]any) { m["crew"], m["hauls"], m["cores"] = "bound", 3, 2.0 }), 201},
	}
	for _, field := range []string{"berth", "crew", "rig", "tide", "hauls", "cores", "gpus", "memory_gb", "hullcast", "image_gb", "together", "scatter", "driftstock", "passage_s", "logmark_s", "stow_s"} {
		cases["without "+field] = struct {
			body   []byte
			status int
		}{submission(t, "job-000001", func(m map[string]any) { delete(m, field) }), 400}
	}
	for name, tc := range cases {
		for _, known := range []bool{false, true} {
			for _, outage := range []bool{false, true} {
				h := newHarness()
				h.step(t, smallType)
				h.queryCore = func(q QueryCore) any { return CoreAnswered{Query: q.Query} }
				h.get = func(g GetRecord) any {
					r := RecordRead{ID: g.ID, Outcome: message.OutcomeFailed}
					switch {
					case outage:
						r.Outcome = message.OutcomeRefused
					case known:
						r = RecordRead{ID: g.ID, Outcome: message.OutcomeDone, Record: record.JobRecord{State: record.RecordLive, Tasks: 2}}
					}
					return r
				}
				h.write = func(w Write) any {
					out := message.OutcomeDone
					if outage {
						out = message.OutcomeRefused
					} else if known {
						out = message.OutcomeFailed
					}
					return Written{ID: w.ID, Outcome: out}
				}
				h.step(t, Request{ID: 1, Operation: Submit, Body: tc.body})
				want := tc.status
				if _, named := protocol.SubmittedID(tc.body); named && outage {
					want = 503
				} else if named && known {
					want = 200
				}
				if got := h.answers[1].Status; got != want {
					t.Errorf("%s, known %v, outage %v: %d, want %d", name, known, outage, got, want)
				}
			}
		}
	}
}
