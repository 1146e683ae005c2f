// Package config reads and checks the platform's settings file (TOML) and the operators'
// own settings (XML), and checks that the two are compatible.
//
// The package has no state and reads its files once, at the start. Package dynamicconfig
// applies the changes that operators make while controllers run on top of these settings.
// The names of the types and fields of the platform's file are part of the texts of its
// errors.
package config
