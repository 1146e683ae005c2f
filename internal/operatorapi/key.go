package operatorapi

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Key is an operator's key: a name, which controllers record with the changes made with the
// key, and a secret shared with the controllers. Two keys may have the same name while one
// replaces the other.
type Key struct {
	Name   string
	Secret []byte
}

const (
	// minSecretSize is the size in bytes of the shortest accepted secret, and of new ones.
	minSecretSize    = 32
	maxKeyNameLength = 60 // bytes
	// othersPermissions are the permission bits of a file for its group and all others.
	othersPermissions = 0o077
)

var (
	errKeyName     = errors.New("is no name of 1 to 60 characters without spaces")
	errKeyLine     = errors.New("want a name and a secret")
	errSecret      = fmt.Errorf("the secret is not %d hexadecimal digits or more", hex.EncodedLen(minSecretSize))
	errNoKeys      = errors.New("operators' keys: none")
	errKeysExposed = errors.New("may be read by others")
)

// NewKey returns a key with a random secret of minSecretSize bytes, or an error if the name is
// not valid in a keys file.
func NewKey(name string) (Key, error) {
	k := Key{Name: name, Secret: make([]byte, minSecretSize)}
	if _, err := rand.Read(k.Secret); err != nil {
		return Key{}, fmt.Errorf("operator's key: %w", err)
	}
	return k, checkKeyName(name)
}

// checkKeyName returns an error unless a name is valid in a keys file: 1 to maxKeyNameLength
// bytes without a space, tab, line feed or "#".
func checkKeyName(name string) error {
	if name == "" || len(name) > maxKeyNameLength || strings.ContainsAny(name, " \t\n#") {
		return fmt.Errorf("operator's key: %q %w", name, errKeyName)
	}
	return nil
}

// String formats the key as a line of a keys file: its name and its secret.
func (k Key) String() string { return k.Name + " " + hex.EncodeToString(k.Secret) }

// ParseKeys parses the text of a keys file, which has one key on each line; "#" begins a
// comment. It returns an error for a bad line, and if there is no key.
func ParseKeys(text string) ([]Key, error) {
	var keys []Key
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 {
			return nil, fmt.Errorf("operators' keys: line %d: %w", i+1, errKeyLine)
		}
		name := fields[0]
		secret, err := hex.DecodeString(fields[1])
		if err != nil || len(secret) < minSecretSize {
			return nil, fmt.Errorf("operators' keys: line %d: %w", i+1, errSecret)
		}
		if err := checkKeyName(name); err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		keys = append(keys, Key{Name: name, Secret: secret})
	}
	if len(keys) == 0 {
		return nil, errNoKeys
	}
	return keys, nil
}

// ReadKeys reads and parses the keys file at path. It rejects a file on which anyone but its
// owner has a permission, since it holds secrets.
func ReadKeys(path string) ([]Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	if mode := info.Mode().Perm(); mode&othersPermissions != 0 {
		return nil, fmt.Errorf("operators' keys: %s %w (mode %v): chmod 600", path, errKeysExposed, mode)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	return ParseKeys(string(b))
}
