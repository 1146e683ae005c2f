package siteconfig

import (
	"os"
	"strings"
	"testing"
)

// TestParseSiteErrorNamesInvalidField checks that the site files of the repository are valid, and
// that the error of an invalid site names the invalid field.
func TestParseSiteErrorNamesInvalidField(t *testing.T) {
	for _, name := range []string{"scale-small", "scale-target", "scale-peak"} {
		site, err := LoadSite("../../../deploy/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		if half := site.Scaled(0.5); half.Workers != site.Workers/2 || half.Controllers != site.Controllers {
			t.Errorf("%s: scaled by 0.5, the site has %d workers and %d controllers", name, half.Workers, half.Controllers)
		}
	}
	valid, err := os.ReadFile("../../../deploy/scale-small.toml")
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
		changed := strings.Replace(string(valid), change[0], change[1], 1)
		if changed == string(valid) {
			t.Errorf("%s: the site file does not contain the text to change", field)
		}
		if _, err := ParseSite([]byte(changed)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error does not name the field: %v", field, err)
		}
	}
}
