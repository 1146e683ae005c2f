package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"damsonkeel/internal/operatorapi"
)

// clientFlags has the flags of commands that send requests to controllers.
type clientFlags struct {
	Controller []string      `help:"Addresses of controllers, one or more." env:"DAMSONKEEL_CONTROLLERS" required:"" placeholder:"HOST:PORT"`
	Key        string        `help:"File with an operator's key; the first in it is used." env:"DAMSONKEEL_KEY" required:"" type:"path" placeholder:"FILE"`
	Output     string        `help:"Form of the answer: ${enum}." enum:"table,json" default:"table"`
	Timeout    time.Duration `help:"How long to try." default:"30s"`
}

// exitCodes maps the codes of replies to requests that were not fulfilled to exit codes.
var exitCodes = map[operatorapi.Code]int{
	operatorapi.Refused:  exitRefused,
	operatorapi.NotFound: exitNotFound,
	operatorapi.Denied:   exitDenied,
}

// sendAndPrint sends a request and prints the reply, also one that refuses the request. It
// returns the errors of both.
func (f *clientFlags) sendAndPrint(r operatorapi.Request) error {
	reply, err := f.send(r)
	if reply.Code == "" {
		return err
	}
	return errors.Join(f.print(reply), err)
}

// send sends a request until a controller settles it, for at most Timeout. A reply with a code
// in exitCodes, which does not fulfil the request, is returned with an exitError. Without a
// reply it returns an empty one, whose Code is empty, and an error.
func (f *clientFlags) send(r operatorapi.Request) (operatorapi.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	reply, err := f.sendWithContext(ctx, r)
	if err != nil {
		return operatorapi.Reply{}, err
	}
	if code := exitCodes[reply.Code]; code != 0 {
		return reply, &exitError{code: code, reason: reply.Reason}
	}
	return reply, nil
}

// sendWithContext sends a request, sealed with the first key of the keys file, until a controller
// settles it (replies with any code but RetryLater) or the context ends, which is an error.
//
//nolint:wrapcheck // the texts of both errors are complete and must not change
func (f *clientFlags) sendWithContext(ctx context.Context, r operatorapi.Request) (operatorapi.Reply, error) {
	keys, err := operatorapi.ReadKeys(f.Key)
	if err != nil {
		return operatorapi.Reply{}, err
	}
	return operatorapi.NewClient(keys[0], f.Controller).Do(ctx, r)
}

// print prints a reply to the standard output: as JSON, or as the tables of the objects that it
// contains. Of a reply that is not Done, the latter form has only the conflicting entries, on
// the standard error; the reason is printed as the error of the command.
func (f *clientFlags) print(reply operatorapi.Reply) error {
	if f.Output == outputJSON {
		return printJSON(reply)
	}
	if reply.Code != operatorapi.Done {
		if len(reply.Conflicts) > 0 {
			fmt.Fprintln(os.Stderr, "in the way:", joinNames(reply.Conflicts))
		}
		return nil
	}
	if reply.Reason != "" {
		fmt.Println(reply.Reason)
	}
	if len(reply.Overlapping) > 0 {
		fmt.Println("overlaps, and fits beside:", joinNames(reply.Overlapping))
	}
	if len(reply.Controllers) > 0 {
		printShards(reply)
	}
	if reply.Config != nil {
		printConfig(reply.Config)
	}
	if len(reply.Reservations) > 0 {
		printReservations(reply.Reservations)
	}
	if len(reply.Windows) > 0 {
		printWindows(reply.Windows)
	}
	return nil
}

// printJSON prints a value as indented JSON to the standard output.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value) //nolint:wrapcheck // only writing can fail, which the error text states
}
