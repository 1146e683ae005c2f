package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// DecodeStrict decodes TOML into a value. A field that the value does not have is an
// error that shows its place.
func DecodeStrict(b []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("%w:\n%s", errUnknownField, strict.String())
	}
	return err //nolint:wrapcheck // callers wrap it with the name of the file
}
