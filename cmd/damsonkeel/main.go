// Command damsonkeel is a cluster scheduler. It contains the daemon, which is the same on
// every controller, and the operators' commands.
//
// Terms of the comments: an entry is a reservation or a maintenance window, or, in the
// commands about the configuration, a team, class, zone, machine type or setting that
// operators change while controllers run. A revision is the number of a change of the
// configuration. A shard, called share in the commands, is a part of the machines that one
// controller at a time manages; a controller that is cordoned holds none. Members are the
// controllers that take part at present.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const version = "0.2.0"

// commandLine defines the commands. Their names and help texts must not change.
type commandLine struct {
	Run     runCommand     `cmd:"" default:"withargs" help:"Run a controller; the command if none is named."`
	Reserve reserveCommand `cmd:"" help:"Reservations: room for a job at a time."`
	Window  windowCommand  `cmd:"" help:"Maintenance windows: nothing new starts on what they cover."`
	Shares  sharesCommand  `cmd:"" help:"Shares of the machines: which controller keeps which."`
	Config  configCommand  `cmd:"" help:"The configuration that may change while controllers run."`
	Key     keyCommand     `cmd:"" help:"Make an operator's key."`
	Emulate emulateCommand `cmd:"" help:"Play a site in simulated time, with simulated machines."`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Exit codes, in addition to 0 for success and kong's for an invalid command line. The codes
// from 3 on stand for the codes of replies (see exitCodes); exitFailed is for any other error.
const (
	exitFailed   = 1
	exitRefused  = 3
	exitNotFound = 4
	exitDenied   = 5
)

// exitError is the error for a reply to a request that was not fulfilled. It ends the
// command with the exit code for the reply's code.
type exitError struct {
	code   int
	reason string
}

// Error implements error.
func (e *exitError) Error() string { return e.reason }

func main() {
	var commands commandLine
	ctx := kong.Parse(&commands, kong.Name("damsonkeel"), kong.UsageOnError(),
		kong.Description("A cluster scheduler: one daemon, the same on every controller. LOG_LEVEL is error, info or debug.\n\n"+
			"Commands exit with 0 when done, 3 when refused, 4 when there is nothing of the name, 5 when the key is no operator's, 80 for a wrong command line, 1 otherwise."),
		kong.Vars{"version": "damsonkeel " + version, "when": whenHelp})
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "damsonkeel:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code of a command that failed with an error: that of an exitError,
// otherwise exitFailed.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}
