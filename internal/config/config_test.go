package config

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const validSettings = `
host_name = "keelhand-0"
domain = "a"
serve_on = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
something_new = 7
[[members]]
host_name = "keelhand-1"
peer_addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
count = 2
[[settings.teams]]
name = "t"
cpus = 4.0
cpus_max = 8.0
[settings.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 40.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 6.0
[settings.limits]
ram_mb = 179.0
max_connections = 2000
`

// TestParseReadsAllSections checks that a valid file is accepted and that unknown fields are
// ignored.
func TestParseReadsAllSections(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if team, ok := s.Team("t"); !ok || !team.Limited() || s.Members[0].Name != "keelhand-1" || s.Site.State.TxnOps != 12 {
		t.Fatalf("%+v", s)
	}
}

// TestParseNamesBadSettings checks that the error for an invalid setting names the setting.
func TestParseNamesBadSettings(t *testing.T) {
	cases := []struct{ old, new, field string }{
		{`host_name = "keelhand-0"`, ``, "host_name"},
		{`"10.0.0.1:8080"`, `"nowhere"`, "serve_on"},
		{`"10.0.0.2:8081"`, `""`, "peer_addr"},
		{`"10.2.0.1:2379"`, `"x"`, "services.state"},
		{`lease_s = 20.0`, `lease_s = -1.0`, "lease_s"},
		{`lease_s = 20.0`, `lease_s = nan`, "lease_s"},
		{`cancel_s = 40.0`, `cancel_s = 10.0`, "cancel_s"},
		{`txn_ops = 12`, ``, "txn_ops"},
		{`cpus = 4.0`, `cpus = -4.0`, "teams"},
		{`name = "t"`, ``, "teams.name"},
		{`host_name = "keelhand-1"`, `host_name = "keelhand-0"`, "members.host_name"},
		{`rps = 200.0`, `rps = "many"`, "settings"},
	}
	for _, tc := range cases {
		text := strings.Replace(validSettings, tc.old, tc.new, 1)
		if text == validSettings {
			t.Fatalf("%q is not in the settings", tc.old)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), tc.field) {
			t.Errorf("%q: %v, want %s named", tc.new, err, tc.field)
		}
	}
}

// TestParseOperatorReadsElements checks that elements in the file replace the defaults.
func TestParseOperatorReadsElements(t *testing.T) {
	op, err := ParseOperator(strings.NewReader(`<damsonkeel><!-- ours --><nodeLease> 9s </nodeLease></damsonkeel>`))
	if err != nil || op.NodeLease != 9*time.Second || op.ReplicationInterval != DefaultOperator().ReplicationInterval {
		t.Fatalf("%+v, %v", op, err)
	}
	op, err = ParseOperator(strings.NewReader(`<damsonkeel><machineRecords>single</machineRecords><copyWait>3s</copyWait></damsonkeel>`))
	if err != nil || !op.SingleRecords || op.CopyWait != 3*time.Second {
		t.Errorf("%+v, %v", op, err)
	}
}

// TestFitChoosesNodeLease checks that a node lease that fits the platform is used
// unchanged, that one that is too long is rejected, and that without one, Fit chooses a
// lease that fits.
func TestFitChoosesNodeLease(t *testing.T) {
	op := DefaultOperator()
	op.NodeLease = 9 * time.Second
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if fit, err := op.Fit(s); err != nil || fit.NodeLease != 9*time.Second {
		t.Errorf("%v, %v", fit.NodeLease, err)
	}
	op.NodeLease = 18 * time.Second // cancel_s (40 s) less lease_s (20 s) leaves too little for it
	if _, err := op.Fit(s); err == nil || !strings.Contains(err.Error(), "nodeLease") {
		t.Errorf("a lease too long: %v", err)
	}
	s.Site.Workers.LeaseS, s.Site.Workers.CancelS = 6, 12
	if fit, err := DefaultOperator().Fit(s); err != nil || fit.NodeLease > 3*time.Second || fit.NodeLease < time.Second {
		t.Errorf("%v, %v", fit.NodeLease, err)
	}
	// Even the shortest node lease would let cancelled tasks run too long.
	s.Site.Workers.LeaseS, s.Site.Workers.CancelS = 8, 11.5
	if _, err := DefaultOperator().Fit(s); err == nil || !strings.Contains(err.Error(), "cancel_s 11.5") {
		t.Errorf("a cancel_s too short: %v", err)
	}
}

// TestParseOperatorNamesBadElements checks that the error for an invalid element or value
// names it.
func TestParseOperatorNamesBadElements(t *testing.T) {
	for text, want := range map[string]string{
		`<damsonkeel><machineShares>some</machineShares></damsonkeel>`:   "some",
		`<damsonkeel><machineRecords>both</machineRecords></damsonkeel>`: "both",
		`<damsonkeel><nodeLeese>9s</nodeLeese></damsonkeel>`:             "nodeLeese",
		`<damsonkeel><nodeLease>soon</nodeLease></damsonkeel>`:           "soon",
		`<damsonkeel><nodeLease>0s</nodeLease></damsonkeel>`:             "nodeLease",
		`<damsonkeel><nodeLease x="1">9s</nodeLease></damsonkeel>`:       "x",
		`<other/>`:                  "other",
		`<damsonkeel><nodeLease>9s`: "operator settings",
		``:                          "empty",
	} {
		if _, err := ParseOperator(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s named", text, err, want)
		}
	}
}

// TestFitLeavesMarginOfCancelS checks that with settings that fit, cancel_s exceeds the
// longest time for which a cancelled job's tasks may run by a margin.
func TestFitLeavesMarginOfCancelS(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Settings{}
		w := &s.Site.Workers
		w.LeaseS = rapid.Float64Range(0.5, 300).Draw(t, "lease_s")
		w.CancelS = rapid.Float64Range(0.5, 400).Draw(t, "cancel_s")
		op := DefaultOperator()
		if rapid.Bool().Draw(t, "set") {
			op.NodeLease = Seconds(rapid.Float64Range(0.1, 100).Draw(t, "nodeLease"))
		}
		fit, err := op.Fit(s)
		if err != nil {
			if op.NodeLease == 0 && w.CancelS > w.LeaseS*1.001+4.1 {
				t.Fatalf("rejected, though it fits: %v", err)
			}
			return
		}
		if delay := fit.NodeLease.Seconds() + 2 + w.LeaseS*1.0005; delay+0.999 > w.CancelS {
			t.Fatalf("cancelled tasks may run for %v s, cancel_s is %v s", delay, w.CancelS)
		}
	})
}

// TestFitLeavesMarginOfPropagationLimit checks that where the configuration may change,
// settings that fit leave a margin within the time in which a change must be in force on
// all controllers, and that there is no such condition where it may not change.
func TestFitLeavesMarginOfPropagationLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Settings{}
		s.Site.Workers.LeaseS, s.Site.Workers.CancelS = 20, 200
		op := DefaultOperator()
		op.NodeLease = Seconds(rapid.Float64Range(0.1, 60).Draw(t, "nodeLease"))
		op.DisableDynamicConfig = rapid.Bool().Draw(t, "fixed")
		if rapid.Bool().Draw(t, "keys") {
			op.OperatorKeys = "keys"
		}
		_, err := op.Fit(s)
		if fits := op.NodeLease.Seconds()+2 <= 10.5; (err == nil) != (fits || !op.Configurable()) {
			t.Fatalf("%+v: %v", op, err)
		}
	})
}
