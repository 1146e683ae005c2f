package operatorapi

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Key is an operator's key. Several keys may have the same name while one replaces
// another.
type Key struct {
	Name   string
	Secret []byte
}

const (
	// minSecretSize is the size of the shortest secret, in bytes.
	minSecretSize    = 32
	maxKeyNameLength = 60
	// othersPermissions are the permissions of a file for others than its owner.
	othersPermissions = 0o077
)

var (
	errKeyName      = errors.New("is no name of 1 to 60 characters without spaces")
	errKeyLine      = errors.New("want a name and a secret")
	errSecret       = fmt.Errorf("the secret is not %d hexadecimal digits or more", hex.EncodedLen(minSecretSize))
	errNoKeys       = errors.New("operators' keys: none")
	errKeysReadable = errors.New("may be read by others")
)

// NewKey makes a key with a random secret.
func NewKey(name string) (Key, error) {
	k := Key{Name: name, Secret: make([]byte, minSecretSize)}
	if _, err := rand.Read(k.Secret); err != nil {
		return Key{}, fmt.Errorf("operator's key: %w", err)
	}
	return k, checkKeyName(name)
}

func checkKeyName(name string) error {
	if name == "" || len(name) > maxKeyNameLength || strings.ContainsAny(name, " \t\n#") {
		return fmt.Errorf("operator's key: %q %w", name, errKeyName)
	}
	return nil
}

// String formats the key as a line of a file of keys: its name and its secret.
func (k Key) String() string { return k.Name + " " + hex.EncodeToString(k.Secret) }

// ParseKeys parses the text of a file of keys, with one on each line; "#" begins a
// comment.
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

// ReadKeys reads a file of keys, which only its owner may have access to.
func ReadKeys(path string) ([]Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	if mode := info.Mode().Perm(); mode&othersPermissions != 0 {
		return nil, fmt.Errorf("operators' keys: %s %w (mode %v): chmod 600", path, errKeysReadable, mode)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' keys: %w", err)
	}
	return ParseKeys(string(b))
}
