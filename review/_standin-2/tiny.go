package main

import (
	"fmt"
	"io"
	"time"
)

func init() { cases["many-small-tasks"] = manySmallTasks }

func harrowgate() (*site, m) {
	s := &site{ReportS: 3, LeaseS: 36, GangWaitS: 30, GangPeerS: 5, CancelS: 61, ListLagS: 10, BootMin: 9, BootMax: 20,
		Types: []mtype{{"deckbox", 4, 16, 0.19, 0.05, 0.6, 15}, {"holdrack", 16, 64, 0.79, 0.18, 0.4, 15}},
		Zones: []string{"fremantle"}, Teams: []team{{"floorops", 0, 0}}, Capacity: map[string]int{"deckbox": 26, "holdrack": 9}}
	p := settingsOf(s, 3, 150, 50, 16, 16, 4)
	p["objectives"] = []m{{"kind": "wait", "class": "lotcatalogue", "within_s": 12.0, "share": 0.75}, {"kind": "finished", "class": "lotcatalogue", "within_s": 150.0, "share": 0.88},
		{"kind": "deadline", "class": "sortsheet", "share": 0.9, "times": 1.0}, {"kind": "finished", "class": "icetally", "within_s": 150.0, "share": 0.9}}
	p["limits"] = m{"cpu": 0.096, "ram_mb": 179.0, "max_connections": 1800}
	return s, p
}

// startHarrowgate starts three controllers in one zone, and machines by type.
func startHarrowgate(record io.Writer, s *site, params m, machines map[string]int) (*world, *cluster) {
	w := newWorld(s, record)
	c := newCluster(w, params, []string{"fremantle", "fremantle", "fremantle"})
	w.mu.Lock()
	for _, t := range s.Types {
		w.rent(t.Name, "fremantle", false, machines[t.Name], 0.2)
	}
	w.mu.Unlock()
	for i := range c.nodes {
		c.start(i)
	}
	c.probe()
	if !c.waitUp(20 * time.Second) {
		c.end()
		fatal("controllers do not start")
	}
	return w, c
}

// manySmallTasks: an array of many small tasks fills a large machine. Its worker's reports and the
// answers to them then exceed 64 KiB. Nothing else is disturbed.
func manySmallTasks(record io.Writer) *world {
	s, params := harrowgate()
	// The machine type of the example in PROTOCOL, GET /catalog.
	s.Types = append(s.Types, mtype{"g8", 96, 768, 12, 4.5, 1, 45})
	s.Capacity["g8"] = 1
	w, c := startHarrowgate(record, s, params, map[string]int{"deckbox": 2, "g8": 1})
	defer c.end()
	w.mu.Lock()
	w.lenient = true
	w.onLarge = func(what string, size int) {
		if !w.seen[what] {
			w.seen[what] = true
			w.breaks("body_limit", "%s of %d bytes; the limit is %d", what, size, maxBody)
		}
	}
	w.onExpired = func(x *machine, lost []*task) {
		jobs := map[string]int{}
		for _, t := range lost {
			if t.onIt {
				jobs[t.job.spec.ID]++
			}
		}
		for id, n := range jobs {
			w.breaks("work_lost", "%d tasks of the accepted %s are lost with the lease of %s, whose worker has reported all the time", n, id, x.id)
		}
	}
	w.mu.Unlock()
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(92 * time.Second)
	long := c.newJob(jobSpec{ID: "job-000100", Class: "icetally", Team: "floorops", Kind: "batch", Priority: "standard", Tasks: 4, CPUs: 2, GB: 6.1,
		Image: "img-1", ImageGB: 1, Types: []string{"g8"}, EstimateS: 60, RunS: 60})
	go c.follow(long, 0, stop)
	time.Sleep(4 * time.Second)
	small := c.newJob(jobSpec{ID: "job-000200", Class: "sortsheet", Team: "floorops", Kind: "batch", Priority: "standard", Tasks: 3000, CPUs: 0.05, GB: 0.1,
		Image: "img-2", ImageGB: 0.5, Types: []string{"g8"}, EstimateS: 60, RunS: 60})
	if !trouble {
		small.spec.Tasks, small.spec.CPUs, small.spec.GB = 60, 1, 1
	}
	go c.follow(small, 0, stop)
	time.Sleep(time.Until(stop))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		w.logf("%s", fmt.Sprintf("%s: %d of %d tasks done, %d starts", j.spec.ID, j.doneTasks, j.spec.Tasks, j.started))
	}
	return w
}
