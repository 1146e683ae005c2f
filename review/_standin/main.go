// Command standin runs the cases of the review: real controllers, and stand-ins around them.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*Bench){
		"stale-records": staleRecords,
		"stale-watch":   staleWatch,
		"cut-off":       cutOff,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](NewBench(os.Args[2]))
}
