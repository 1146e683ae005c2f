package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["huge"] = huge }

// residentMB returns the resident memory of a controller's process in MB, and the most it had.
func (c *cluster) residentMB(i int) (now, peak float64) {
	n := c.nodes[i]
	n.cmdMu.Lock()
	pid := n.cmd.Process.Pid
	n.cmdMu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

func envFloat(name string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return otherwise
}

func huge(record io.Writer) *world {
	s, params := harrowgate()
	w, c := startHarrowgate(record, s, params, map[string]int{"deckbox": 10, "holdrack": 3})
	defer c.end()
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(90 * time.Second)
	for n := range int(envFloat("JOBS", 3)) {
		j := c.newJob(jobSpec{ID: fmt.Sprintf("job-%06d", 100+n), Class: "sortsheet", Team: "floorops", Kind: "batch", Priority: "standard", Tasks: uint64(envFloat("TASKS", 100000)),
			CPUs: envFloat("CPUS", 1), GB: 0.1, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: envFloat("EST", 0.2), RunS: envFloat("EST", 0.2)})
		go c.follow(j, 0, stop)
		time.Sleep(500 * time.Millisecond)
	}
	for time.Now().Before(stop) {
		time.Sleep(2 * time.Second)
		text := ""
		for i := range c.nodes {
			now, peak := c.residentMB(i)
			text += fmt.Sprintf(" %.0f (most %.0f)", now, peak)
		}
		c.logf("memory:%s MB; done %d", text, len(w.results))
		fmt.Println(time.Since(w.begin).Round(time.Second), text, len(w.results))
	}
	return w
}
