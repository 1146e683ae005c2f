package operatorapi

import (
	"os"
	"path/filepath"
	"testing"
)

// TestReadKeysRequiresPrivateFile checks that a keys file that others may read is rejected,
// and that a file that only its owner may read can have several keys of the same name.
func TestReadKeysRequiresPrivateFile(t *testing.T) {
	key, err := NewKey("ops")
	if err != nil {
		t.Fatal(err)
	}
	other, err := NewKey("ops")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte("# keys\n"+key.String()+"\n"+other.String()+" # the next\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKeys(path); err == nil {
		t.Error("keys that everybody may read were accepted")
	}
	if err := os.Chmod(path, 0o600); err != nil {
		t.Fatal(err)
	}
	if keys, err := ReadKeys(path); err != nil || len(keys) != 2 {
		t.Errorf("%d keys, %v", len(keys), err)
	}
	if _, err := ParseKeys("ops 1234"); err == nil {
		t.Error("a short secret was accepted")
	}
}
