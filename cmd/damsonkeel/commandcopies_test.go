package main

import (
	"fmt"
	"testing"
	"time"

	"damsonkeel/internal/fake/server"
	"damsonkeel/internal/protocol"
)

func TestCopiesOfCommandsStartNothingOnRealControllers(t *testing.T) {
	const (
		jobs     = 12
		tasks    = 6
		maxDelay = 6 * time.Second
		timeout  = 90 * time.Second
	)
	c := newCluster(t, 3)
	c.platform.CopyCommands(server.CommandCopies{Fraction: 1, MaxDelay: maxDelay, Seed: 1})
	allStarted := func(count int) func() bool {
		return func() bool {
			for i := range count {
				if c.platform.StartCount(copiedJob(i)) < tasks {
					return false
				}
			}
			return true
		}
	}
	for i := range jobs {
		c.submit(protocol.Job{
			ID: copiedJob(i), Team: "free", Class: "array", Kind: protocol.KindJobArray, Priority: "standard", Tasks: tasks,
			CPUs: 1, MemoryGB: 1, EstimateS: 0.5, Image: "i", ImageGB: 0.1,
		})
		if i == jobs/2 {
			c.waitUntil("the first jobs start", timeout, allStarted(i))
			c.kill("node-0")
			c.start("node-0")
		}
	}
	c.waitUntil("all tasks start", timeout, allStarted(jobs))
	time.Sleep(maxDelay) // the last copies arrive
	counts := c.platform.CopyCounts()
	if counts.Delivered == 0 || counts.RepeatedStarts > 0 {
		t.Errorf("%d copies started %d attempts again, want some copies and no start", counts.Delivered, counts.RepeatedStarts)
	}
	t.Logf("%+v", counts)
}

// copiedJob returns the ID of the job with a number.
func copiedJob(i int) protocol.JobID { return protocol.JobID(fmt.Sprintf("job-%06d", i)) }
