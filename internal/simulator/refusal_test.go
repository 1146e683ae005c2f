package simulator

import (
	"fmt"
	"testing"
	"time"
)

const (
	// refusalSite is a site whose controllers are refused by the key-value store, one at a time.
	refusalSite     = "testdata/digests/refusal.toml"
	refusalDuration = 20 * time.Minute
)

// TestRefusedControllerBreaksNoRule checks that no rule is broken while the key-value store refuses
// single controllers and then answers the watch of a session that is about to end. It guards
// against ran_cancelled: with changes of ended sessions applied, both seeds break it.
func TestRefusedControllerBreaksNoRule(t *testing.T) {
	checkSiteBreaksNoRule(t, refusalSite, refusalDuration, 2, 4)
}

// checkSiteBreaksNoRule runs a site with each seed and checks that no rule is broken, and that
// tasks start and faults happen.
func checkSiteBreaksNoRule(t *testing.T, site string, duration time.Duration, seeds ...uint64) {
	t.Helper()
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result := Run(loadSite(t, site), Options{Duration: duration, Seed: seed})
			if len(result.Violations) > 0 {
				t.Errorf("%d rules broken, the first: %s", len(result.Violations), result.Violations[0])
			}
			if result.Starts == 0 || len(result.Faults) == 0 {
				t.Errorf("%d starts and %d faults, so the test proves nothing", result.Starts, len(result.Faults))
			}
		})
	}
}
