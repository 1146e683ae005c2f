package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"sync/atomic"
	"time"
)

type boolFlag = atomic.Bool

func lockThread() { runtime.LockOSThread() }

var (
	logLevel    = "error"
	perNodeLogs = os.Getenv("REVIEW_LOGS") // a folder for the controllers' logs, to look into a run
	trouble     = os.Getenv("TROUBLE") != "0"
)

var cases = map[string]func(record io.Writer) *world{}

func main() {
	if len(os.Args) < 3 {
		fatal("usage: review-cluster CASE RECORD")
	}
	run := cases[os.Args[1]]
	if run == nil {
		fatal("no such case:", os.Args[1])
	}
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		logLevel = l
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fatal(err)
	}
	if os.Getenv("EXPLORE") == "" {
		time.AfterFunc(118*time.Second, func() { fatal("the case took too long") })
	}
	w := run(f)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range w.broken {
		fmt.Println("BROKEN", text)
	}
	w.logf("%d starts, %d broken rules", w.starts, len(w.broken))
	fmt.Printf("%d jobs, %d starts, %d broken rules\n", len(w.jobs), w.starts, len(w.broken))
	if len(w.broken) > 0 {
		os.Exit(1)
	}
}
