package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// DecodeStrict reads TOML into a value. A field that the value does not have is an
// error that shows it.
func DecodeStrict(b []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("unknown field:\n%s", strict.String())
	}
	return err
}
