package siteconfig

import (
	"os"
	"strings"
	"testing"
)

// TestParseSiteNamesInvalidFields: the site files of the repository are valid, and the
// error of an invalid one names the field.
func TestParseSiteNamesInvalidFields(t *testing.T) {
	for _, name := range []string{"scale-small", "scale-target", "scale-peak"} {
		site, err := LoadSite("../../../deploy/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		if half := site.Scaled(0.5); half.Workers != site.Workers/2 || half.Controllers != site.Controllers {
			t.Errorf("%s: half of it has %d workers, %d controllers", name, half.Workers, half.Controllers)
		}
	}
	good, err := os.ReadFile("../../../deploy/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string][2]string{
		"surprise":        {"name =", "surprise = 1\nname ="},
		"workers":         {"\nworkers = 60", "\nworkers = 0"},
		"duration_s":      {"duration_s = ", "duration_s = -"},
		"load[0].kind":    {`kind = "batch"`, `kind = "heap"`},
		"load[0].tasks":   {"tasks = [", "tasks = [0, "},
		"troubles[0].":    {"[[troubles]]", "[[troubles]]\nkind = \"earthquake\"\nat_s = 1\n[[troubles]]"},
		"types":           {"[[types]]", "[[types]]\nname = \"\"\n[[types]]"},
		"state.txn_ops":   {"txn_ops = 12", "txn_ops = 1"},
		"timings.lease_s": {"lease_s = ", "lease_s = 9999"},
	} {
		text := strings.Replace(string(good), change[0], change[1], 1)
		if text == string(good) {
			t.Errorf("%s: nothing was changed", field)
		}
		if _, err := ParseSite([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
