package main

import (
	"fmt"

	"damsonkeel/internal/operatorapi"
)

type keyCommand struct {
	Name string `arg:"" help:"Whose key it is."`
}

// Run prints a new key as a line of a file of keys.
func (k *keyCommand) Run() error {
	key, err := operatorapi.NewKey(k.Name)
	if err != nil {
		return err //nolint:wrapcheck // its text is complete, and fixed output
	}
	fmt.Println(key)
	return nil
}
