package simulator

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"damsonkeel/internal/protocol"
)

// updateDigests makes TestDigests rewrite digestsFile:
// go test ./internal/simulator -run TestDigests -update
var updateDigests = flag.Bool("update", false, "rewrite the golden digests")

// digestsFile holds a name and a SHA-256 digest per line, sorted by name.
const digestsFile = "testdata/digests.txt"

// digestRun is a run of a site file, with its duration and seed.
type digestRun struct {
	name     string
	site     string
	duration time.Duration
	seed     uint64
}

// digestRuns lists the runs whose results are compared. The result of a run of a deployed
// site has the same bytes as the output of
// "damsonkeel emulate --site SITE --for DURATION --seed SEED --output json".
// Longer runs take too long for every test run.
var digestRuns = []digestRun{
	{name: "spot-seed-1", site: "testdata/digests/spot.toml", duration: time.Hour, seed: 1},
	{name: "spot-seed-2", site: "testdata/digests/spot.toml", duration: time.Hour, seed: 2},
	{name: "reservations-seed-1", site: "testdata/digests/reservations.toml", duration: 125 * time.Minute, seed: 1},
	{name: "reservations-seed-2", site: "testdata/digests/reservations.toml", duration: 125 * time.Minute, seed: 2},
	{name: "shares-seed-1", site: "testdata/digests/shares.toml", duration: 30 * time.Minute, seed: 1},
	{name: "shares-seed-2", site: "testdata/digests/shares.toml", duration: 30 * time.Minute, seed: 2},
	{name: "refusal-seed-2", site: refusalSite, duration: refusalDuration, seed: 2},
	{name: "refusal-seed-4", site: refusalSite, duration: refusalDuration, seed: 4},
	{name: "deployed-week-10m-seed-3", site: "../../deploy/emulate-week.toml", duration: 10 * time.Minute, seed: 3},
}

// configurationDigest is the name of the digest of a configuration change.
const configurationDigest = "configuration-change"

// TestDigests compares the results of simulated sites, byte by byte, with the results of the
// version that wrote the golden digests. A commit that is not meant to change behaviour must
// leave all digests as they are; a commit that is meant to change it rewrites them with
// -update.
func TestDigests(t *testing.T) {
	golden := readDigests(t)
	got := make([]string, len(digestRuns)+1)
	t.Run("runs", func(t *testing.T) { // returns when all parallel subtests have ended
		for i, run := range digestRuns {
			t.Run(run.name, func(t *testing.T) {
				t.Parallel()
				got[i] = digestOf(resultJSON(t, run))
				checkDigest(t, golden, run.name, got[i])
			})
		}
		t.Run(configurationDigest, func(t *testing.T) {
			t.Parallel()
			got[len(digestRuns)] = digestOf(configurationChangeJSON(t))
			checkDigest(t, golden, configurationDigest, got[len(digestRuns)])
		})
	})
	if *updateDigests && !t.Failed() {
		golden[configurationDigest] = got[len(digestRuns)]
		for i, run := range digestRuns {
			if got[i] != "" { // empty if -run excluded it; its digest stays
				golden[run.name] = got[i]
			}
		}
		writeDigests(t, golden)
	}
}

// TestDigestSitesHaveAllFaults tests that each type of fault happens in at least one of the
// runs whose digests are compared.
func TestDigestSitesHaveAllFaults(t *testing.T) {
	injected := map[string]bool{}
	for _, run := range digestRuns {
		faults := reflect.ValueOf(loadSite(t, run.site).Faults)
		for i := range faults.NumField() {
			if faults.Field(i).Float()*run.duration.Hours()/24 >= 1 {
				injected[faults.Type().Field(i).Name] = true
			}
		}
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[FaultRates]()) {
		if !injected[field.Name] {
			t.Errorf("no run has the fault %s", field.Name)
		}
	}
}

// loadSite reads a site file; an error ends the test.
func loadSite(t *testing.T, path string) *Site {
	t.Helper()
	site, err := LoadSite(path)
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// resultJSON runs a site and returns its result as the command prints it. Violations of
// rules are part of the result.
func resultJSON(t *testing.T, run digestRun) []byte {
	t.Helper()
	result := Run(loadSite(t, run.site), Options{Duration: run.duration, Seed: run.seed})
	return indentedJSON(t, []*Result{result})
}

// configurationChangeJSON lowers and raises teams' limits in a busy world with job arrays and
// a gang, while shards move and a controller crashes. It returns the outcome with all
// records of the key-value store.
func configurationChangeJSON(t *testing.T) []byte {
	t.Helper()
	w := newConfiguredWorld(t, 1100, 20)
	w.requestLimit(0, "bound", 24)
	w.after(2*time.Second, func() { w.moveRandomShards(8) })
	w.after(5*time.Second, func() { w.nodes[1].crash() })
	w.submit(protocol.Job{Class: "gang", Team: "free", Kind: protocol.KindGang, Priority: "standard", Tasks: 3, CPUs: 4, EstimateS: 10})
	w.runAtLimits(15 * time.Second)
	w.requestLimit(2, "other", 30)
	w.requestLimit(0, "bound", 50)
	w.runAtLimits(15 * time.Second)
	w.run(w.now + 30*time.Second)
	w.expectRevisionInForce(t, 3)
	return indentedJSON(t, struct {
		Starts, Submitted, Moves, GivenUp, Revisions, Changes int
		Worst                                                 time.Duration
		Final                                                 map[protocol.JobID]string
		Records                                               []protocol.Item
	}{w.starts, w.submissions, len(w.movePauses), w.abortedMoves, len(w.commits), w.state.Changes(), w.maxApplyDelay, w.finalState, w.state.List("")})
}

// indentedJSON encodes a value as "damsonkeel emulate --output json" does.
func indentedJSON(t *testing.T, value any) []byte {
	t.Helper()
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// digestOf returns a SHA-256 digest in hexadecimal digits.
func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// checkDigest compares a digest with the golden one, unless the golden digests are being
// rewritten.
func checkDigest(t *testing.T, golden map[string]string, name, got string) {
	t.Helper()
	if want := golden[name]; !*updateDigests && got != want {
		t.Errorf("digest %s, want %q: the result of the simulation has changed", got, want)
	}
}

// readDigests reads the golden digests from digestsFile, by name. It reports an error if a
// digest belongs to no run.
func readDigests(t *testing.T) map[string]string {
	t.Helper()
	digests := map[string]string{}
	file, err := os.ReadFile(digestsFile)
	if err != nil {
		t.Fatal(err)
	}
	for lines := bufio.NewScanner(bytes.NewReader(file)); lines.Scan(); {
		name, digest, _ := strings.Cut(lines.Text(), " ")
		isRun := slices.ContainsFunc(digestRuns, func(run digestRun) bool { return run.name == name })
		if !isRun && name != configurationDigest {
			t.Errorf("%s: there is no run %q", digestsFile, name)
		}
		digests[name] = digest
	}
	return digests
}

// writeDigests writes the golden digests to digestsFile.
func writeDigests(t *testing.T, digests map[string]string) {
	t.Helper()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(digests)) {
		fmt.Fprintf(&b, "%s %s\n", name, digests[name])
	}
	if err := os.WriteFile(digestsFile, []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
