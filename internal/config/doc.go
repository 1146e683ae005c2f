// Package config reads and checks the platform's settings file (TOML) and the operators'
// own settings (XML), and checks that the two fit together.
//
// The package has no state and reads its files once, at the start. What operators change
// while controllers run is in package dynamicconfig, which lays it over these settings.
// Names of types and fields of the platform's file are part of the texts of its errors.
package config
