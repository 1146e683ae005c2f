package config

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestSettingsErrorTexts checks the exact texts of errors in the platform's settings:
// operators see them on the command line, so they must not change.
func TestSettingsErrorTexts(t *testing.T) {
	replaced := func(from, to string) string {
		text := strings.Replace(validSettings, from, to, 1)
		if text == validSettings {
			t.Fatalf("%q is not in the settings", from)
		}
		return text
	}
	for _, tc := range []struct{ name, text, want string }{
		{"no TOML", "=", "settings: toml: invalid character at start of key: U+003D '='"},
		{"rps of another type", replaced(`rps = 200.0`, `rps = "many"`), "settings: toml: cannot decode TOML string into struct field config.State.RPS of type float64"},
		{"no name", replaced(`host_name = "keelhand-0"`, ``), "settings: host_name: missing"},
		{"member without a name", replaced(`host_name = "keelhand-1"`, ``), "settings: members.host_name: \"\" is missing or there twice"},
		{"member twice", replaced(`host_name = "keelhand-1"`, `host_name = "keelhand-0"`), "settings: members.host_name: \"keelhand-0\" is missing or there twice"},
		{"address without a port", replaced(`"10.0.0.1:8080"`, `"nowhere"`), "settings: serve_on: \"nowhere\" is no address with a port"},
		{"peer bind", replaced(`"10.0.0.1:8081"`, `"nowhere"`), "settings: peer_bind: \"nowhere\" is no address with a port"},
		{"member's address", replaced(`"10.0.0.2:8081"`, `""`), "settings: members.peer_addr: \"\" is no address with a port"},
		{"cloud's address", replaced(`"10.2.0.2:8443"`, `"x"`), "settings: services.cloud: \"x\" is no address with a port"},
		{"store's address", replaced(`"10.2.0.1:2379"`, `"x"`), "settings: services.state: \"x\" is no address with a port"},
		{"report_s", replaced(`report_s = 3.0`, ``), "settings: settings.workers.report_s: 0 is not above 0"},
		{"lease_s", replaced(`lease_s = 20.0`, `lease_s = -1.0`), "settings: settings.workers.lease_s: -1 is not above 0"},
		{"lease_s not a number", replaced(`lease_s = 20.0`, `lease_s = nan`), "settings: settings.workers.lease_s: NaN is not above 0"},
		{"lease_s too large", replaced(`lease_s = 20.0`, `lease_s = 2e9`), "settings: settings.workers.lease_s: 2e+09 is not above 0"},
		{"gang_wait_s", replaced(`gang_wait_s = 35.0`, ``), "settings: settings.workers.gang_wait_s: 0 is not above 0"},
		{"gang_peer_s", replaced(`gang_peer_s = 6.0`, ``), "settings: settings.workers.gang_peer_s: 0 is not above 0"},
		{"cancel_s", replaced(`cancel_s = 40.0`, ``), "settings: settings.workers.cancel_s: 0 is not above 0"},
		{"cancel_s below lease_s", replaced(`cancel_s = 40.0`, `cancel_s = 10.0`), "settings: settings.workers.cancel_s: 10 is not above lease_s"},
		{"state.rps", replaced(`rps = 200.0`, ``), "settings: settings.state.rps: 0 is not above 0"},
		{"write_rps", replaced(`write_rps = 80.0`, ``), "settings: settings.state.write_rps: 0 is not above 0"},
		{"value_kb", replaced(`value_kb = 16.0`, ``), "settings: settings.state.value_kb: 0 is not above 0"},
		{"txn_ops", replaced(`txn_ops = 12`, ``), "settings: settings.state.txn_ops: 0 is not above 0"},
		{"cloud.rps", replaced(`rps = 6.0`, ``), "settings: settings.cloud.rps: 0 is not above 0"},
		{"ram_mb", replaced(`ram_mb = 179.0`, ``), "settings: settings.limits.ram_mb: 0 is not above 0"},
		{"max_connections", replaced(`max_connections = 2000`, ``), "settings: settings.limits.max_connections: 0 is not above 0"},
		{"count", replaced(`count = 2`, `count = -2`), "settings: settings.count: -2 is not above 0"},
		{"team without a name", replaced(`name = "t"`, ``), "settings: settings.teams.name: \"\" is missing or there twice"},
		{"team twice", replaced(`[settings.workers]`, "[[settings.teams]]\nname = \"t\"\n[settings.workers]"), "settings: settings.teams.name: \"t\" is missing or there twice"},
		{"negative amount", replaced(`cpus = 4.0`, `cpus = -4.0`), "settings: settings.teams: \"t\" has a negative amount"},
	} {
		_, err := Parse([]byte(tc.text))
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}

// TestOperatorErrorTexts checks the exact texts of errors in the operators' own settings.
func TestOperatorErrorTexts(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"empty", ``, "operator settings: empty"},
		{"no XML", `<`, "operator settings: XML syntax error on line 1: unexpected EOF"},
		{"cut off", `<damsonkeel><nodeLease>9s`, "operator settings: XML syntax error on line 1: unexpected EOF"},
		{"another root", `<other/>`, "operator settings: root element <other>, want <damsonkeel>"},
		{"unknown element", `<damsonkeel><nodeLeese>9s</nodeLeese></damsonkeel>`, "operator settings: unknown element <nodeLeese>"},
		{"nested element", `<damsonkeel><nodeLease><x/></nodeLease></damsonkeel>`, "operator settings: unknown element <x>"},
		{"attribute", `<damsonkeel><nodeLease x="1">9s</nodeLease></damsonkeel>`, "operator settings: <nodeLease>: unknown attribute \"x\""},
		{"no duration", `<damsonkeel><nodeLease>soon</nodeLease></damsonkeel>`, "operator settings: <nodeLease>: \"soon\" is no duration from 100ms to 1h"},
		{"too short", `<damsonkeel><copyWait>99ms</copyWait></damsonkeel>`, "operator settings: <copyWait>: \"99ms\" is no duration from 100ms to 1h"},
		{"too long", `<damsonkeel><relayEvery>61m</relayEvery></damsonkeel>`, "operator settings: <relayEvery>: \"61m\" is no duration from 100ms to 1h"},
		{"no keys file", `<damsonkeel><operatorKeys> </operatorKeys></damsonkeel>`, "operator settings: <operatorKeys>: no file is named"},
		{"no choice", `<damsonkeel><configuration>maybe</configuration></damsonkeel>`, "operator settings: <configuration>: \"maybe\" is none of its values"},
		{"shares", `<damsonkeel><machineShares>some</machineShares></damsonkeel>`, "operator settings: <machineShares>: \"some\" is none of its values"},
		{"records", `<damsonkeel><machineRecords>both</machineRecords></damsonkeel>`, "operator settings: <machineRecords>: \"both\" is none of its values"},
		{"machines without a number", `<damsonkeel><machines>small 3, large</machines></damsonkeel>`, "operator settings: <machines>: \" large\" is no type and number"},
		{"machines of no number", `<damsonkeel><machines>small many</machines></damsonkeel>`, "operator settings: <machines>: \"many\" is no number from 0 to 1000000"},
		{"too many machines", `<damsonkeel><machines>small 1000001</machines></damsonkeel>`, "operator settings: <machines>: \"1000001\" is no number from 0 to 1000000"},
	} {
		_, err := ParseOperator(strings.NewReader(tc.text))
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}

// TestFitErrorTexts checks the exact texts of errors for operators' settings that are
// incompatible with the platform's.
func TestFitErrorTexts(t *testing.T) {
	for _, tc := range []struct {
		name            string
		leaseS, cancelS float64
		nodeLease       time.Duration
		keys            string
		want            string
	}{
		{"cancel_s too short", 8, 11.5, 0, "", "settings: cancel_s 11.5 is too short: with a lease_s of 8 and a node lease of 1s a cancelled job's tasks may stay for 11.004s, and 1s has to be left"},
		{"node lease too long", 20, 40, 18 * time.Second, "", "operator settings: <nodeLease>: 18s is too long: a cancelled job's tasks may stay for 40.009999999s then, and 1s has to be left of cancel_s, 40s"},
		{"node lease too long for changes", 20, 200, 12 * time.Second, "keys", "operator settings: <nodeLease>: 12s is too long: a controller may act for 14s without following a change of the configuration then, which has to be in force everywhere within 11s; at most 8.5s, or <configuration>off</configuration>"},
	} {
		s := &Settings{}
		s.Site.Workers.LeaseS, s.Site.Workers.CancelS = tc.leaseS, tc.cancelS
		op := DefaultOperator()
		op.NodeLease, op.OperatorKeys = tc.nodeLease, tc.keys
		_, err := op.Fit(s)
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}

// TestFileErrorTexts checks the exact texts of errors for files that can't be read and for
// strictly parsed TOML.
func TestFileErrorTexts(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	cause := "open " + missing + ": no such file or directory"
	if _, err := Load(missing); err == nil || err.Error() != "settings: "+cause {
		t.Errorf("settings: %v", err)
	}
	if _, err := LoadOperator(missing); err == nil || err.Error() != "operator settings: "+cause {
		t.Errorf("operators' settings: %v", err)
	}
	if _, err := LoadOperator(""); err != nil {
		t.Errorf("no operators' settings: %v", err)
	}
	for _, tc := range []struct{ name, text, want string }{
		{"unknown field", "name = 'a'\nother = 1\n", "unknown field:\n1| name = 'a'\n2| other = 1\n | ~~~~~ unknown field"},
		{"malformed", "=", "toml: invalid character at start of key: U+003D '='"},
		{"another type", "name = 1", "toml: cannot decode TOML integer into struct field struct { Name string \"toml:\\\"name\\\"\" }.Name of type string"},
	} {
		var target struct {
			Name string `toml:"name"`
		}
		err := DecodeStrict([]byte(tc.text), &target)
		if err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}
