package main

import (
	"io"
	"os"
	"strings"
	"time"
)

func init() { cases["starve"] = starve }

// starve is for exploration: KIND says which.
func starve(record io.Writer) *world {
	s, params := harrowgate()
	kind := os.Getenv("KIND")
	class := "stockmodel"
	if c := os.Getenv("CLASS"); c != "" {
		class = c
	}
	prio := "standard"
	machines := map[string]int{"holdrack": 2}
	if strings.HasPrefix(kind, "service") {
		machines["holdrack"] = 1
	}
	w, c := startHarrowgate(record, s, params, machines)
	defer c.end()
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(time.Duration(envFloat("FOR", 108)) * time.Second)
	serviceCPUs := 16.0
	if kind == "service-part" {
		serviceCPUs = 6
	}
	service := c.newJob(jobSpec{ID: "job-000001", Class: "gateway", Team: "floorops", Kind: "standing", Priority: prio, Tasks: 1, CPUs: serviceCPUs, GB: 8, Image: "img-1", ImageGB: 0.5, RunS: 1e9})
	go c.follow(service, 0, stop)
	time.Sleep(5 * time.Second)
	switch {
	case strings.HasPrefix(kind, "service"):
		cpus := 4.0
		if kind == "service-part" {
			cpus = 15
		}
		j := c.newJob(jobSpec{ID: "job-000002", Class: class, Team: "floorops", Kind: "batch", Priority: prio, Tasks: 2, CPUs: cpus, GB: 8, Image: "img-1", ImageGB: 0.5, EstimateS: 10, RunS: 10})
		go c.follow(j, 0, stop)
	case kind == "failed":
		w.mu.Lock()
		for _, x := range w.machines {
			x.sick = len(x.tasks) == 0
			if x.sick {
				w.logf("%s fails its tasks", x.id)
			}
		}
		w.mu.Unlock()
		j := c.newJob(jobSpec{ID: "job-000002", Class: class, Team: "floorops", Kind: "batch", Priority: prio, Tasks: 1, CPUs: 4, GB: 8, Image: "img-1", ImageGB: 0.5, EstimateS: 10, RunS: 10})
		go c.follow(j, 0, stop)
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		for _, x := range w.machines {
			x.sick = false
		}
		w.logf("no machine fails its tasks any more")
		w.mu.Unlock()
	}
	time.Sleep(time.Until(stop))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		w.logf("%s: %d of %d tasks done, %d starts", j.spec.ID, j.doneTasks, j.spec.Tasks, j.started)
	}
	return w
}
