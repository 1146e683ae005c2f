package main

import (
	"fmt"

	"damsonkeel/internal/operatorapi"
)

type keyCommand struct {
	Name string `arg:"" help:"Whose key it is."`
}

// Run prints a new key, the name with a random secret, as a line of a keys file.
func (k *keyCommand) Run() error {
	key, err := operatorapi.NewKey(k.Name)
	if err != nil {
		return err //nolint:wrapcheck // the error text is complete and must not change
	}
	fmt.Println(key)
	return nil
}
