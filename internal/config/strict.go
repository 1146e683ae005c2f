package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// DecodeStrict decodes the TOML text b into target, a pointer. For a field that target does not have, it returns
// an error that shows the field's position in the text.
func DecodeStrict(b []byte, target any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(target)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("%w:\n%s", errUnknownField, strict.String())
	}
	return err //nolint:wrapcheck // callers wrap it with the name of the file
}
