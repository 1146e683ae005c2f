package siteconfig

import (
	"fmt"
	"os"

	"damsonkeel/internal/config"
)

// LoadSite reads and validates a site file in TOML. Its errors name the file, or the unknown or
// invalid field.
func LoadSite(path string) (*Site, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return ParseSite(b)
}

// ParseSite decodes and validates a site. Its errors name the unknown or invalid field.
func ParseSite(b []byte) (*Site, error) {
	s := &Site{}
	if err := config.DecodeStrict(b, s); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	return s, nil
}
