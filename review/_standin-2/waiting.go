package main

import (
	"io"
	"os"
	"time"
)

func init() {
	cases["after-failed-task"] = afterFailedTask
	cases["scattered-gang"] = scatteredGang
	cases["services-fill"] = servicesFill
	cases["queue-fills-limit"] = queueFillsLimit
}

// fits reports whether a machine allows a job's tasks and has room for one now. The caller holds
// mu.
func (w *world) fits(j *userJob, x *machine) bool {
	t, s := w.typeOf(x.typ), j.spec
	if x.state != "running" || x.spot && !s.Spot || s.Zone != nil && *s.Zone != x.zone || len(s.Types) > 0 && !contains(s.Types, x.typ) {
		return false
	}
	cpus, gb := t.CPUs, t.GB
	for _, have := range x.tasks {
		if have.state != "ended" {
			cpus -= have.job.spec.CPUs
			gb -= have.job.spec.GB
		}
	}
	return s.CPUs <= cpus+1e-6 && s.GB <= gb+1e-6
}

// leftWaiting watches a job until stop: no task of it may wait for 90 s while a machine that fits
// has room. It breaks the rule at most once.
func (c *cluster) leftWaiting(j *userJob, stop time.Time) {
	w := c.w
	since := time.Now()
	for time.Now().Before(stop) {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		room := ""
		for _, id := range w.order {
			if w.fits(j, w.machines[id]) {
				room = id
			}
		}
		onIt := 0
		for _, list := range w.on {
			for _, t := range list {
				if t.job == j {
					onIt++
				}
			}
		}
		if room == "" || onIt > 0 || j.doneTasks == int(j.spec.Tasks) {
			since = time.Now()
		}
		if time.Since(since) > 90*time.Second {
			w.breaks("left_waiting", "%s, accepted %.1f s ago, has waited for %.1f s while %s fits and has room", j.spec.ID, time.Since(j.acceptedAt).Seconds(), time.Since(since).Seconds(), room)
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
	}
}

// untilStarted waits until tasks of a job are on machines.
func (c *cluster) untilStarted(j *userJob, n int, timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.w.mu.Lock()
		started := j.started
		c.w.mu.Unlock()
		if started >= n {
			return
		}
	}
	c.end()
	fatal("the case could not be set up:", j.spec.ID, "does not start")
}

func (c *cluster) summary(stop time.Time) {
	time.Sleep(time.Until(stop))
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, j := range c.w.jobs {
		c.w.logf("%s: %d of %d tasks done, %d starts", j.spec.ID, j.doneTasks, j.spec.Tasks, j.started)
	}
}

// guest adds a guest team without a guarantee, as kit/more/LATER.md describes it.
func guest(s *site, params m, name string) {
	s.Teams = append(s.Teams, team{Name: name})
	params["teams"] = append(params["teams"].([]m), m{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
}

// afterFailedTask: a machine fails a task for some seconds and is well again; the other machine is
// in use.
func afterFailedTask(record io.Writer) *world {
	s, params := harrowgate()
	guest(s, params, "reefsurvey")
	w, c := startHarrowgate(record, s, params, map[string]int{"holdrack": 2})
	defer c.end()
	time.Sleep(time.Second)
	stop := w.begin.Add(113 * time.Second)
	job := func(id, class string, tasks uint64, seconds float64) *userJob {
		return c.newJob(jobSpec{ID: id, Class: class, Team: "reefsurvey", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: 2, GB: 4,
			Image: "img-1", ImageGB: 0.4, Spot: true, EstimateS: seconds, RunS: seconds})
	}
	j1 := job("job-000001", "sonarsift", 8, 200) // fills a machine
	go c.follow(j1, 0, stop)
	c.untilStarted(j1, 8, 20*time.Second)
	j2 := job("job-000002", "sonarsift", 2, 200) // on the other one
	go c.follow(j2, 0, stop)
	c.untilStarted(j2, 2, 20*time.Second)
	w.mu.Lock()
	for _, x := range w.machines {
		if len(x.tasks) == 2 && trouble {
			x.sick = true
			w.logf("%s fails the tasks that it starts", x.id)
		}
	}
	w.mu.Unlock()
	j3 := job("job-000003", "tagpings", 1, 10)
	go c.follow(j3, 0, stop)
	c.untilStarted(j3, 1, 20*time.Second)
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	for _, x := range w.machines {
		x.sick = false
	}
	w.logf("no machine fails its tasks any more")
	w.mu.Unlock()
	c.leftWaiting(j3, stop)
	c.summary(time.Now())
	return w
}

// scatteredGang: the cheap machine of the second zone is taken back; then a gang that has to be in
// two zones is submitted.
func scatteredGang(record io.Writer) *world {
	s, params := brandli()
	guest(s, params, "hochschule")
	s.BootMin, s.BootMax = 15, 37 // 0.6 to 1.5 times ready_s of rackturm
	w := newWorld(s, record)
	c := newCluster(w, params, []string{"raumost", "raumwest", "keller"})
	defer c.end()
	w.mu.Lock()
	w.rent("rackturm", "raumost", false, 2, 0.2)
	w.rent("rackturm", "keller", true, 1, 0.2)
	w.mu.Unlock()
	for i := range c.nodes {
		c.start(i)
	}
	c.probe()
	if !c.waitUp(20 * time.Second) {
		c.end()
		fatal("controllers do not start")
	}
	time.Sleep(time.Second)
	stop := w.begin.Add(time.Duration(envFloat("FOR", 114)) * time.Second)
	zone := "raumost"
	job := jobSpec{Class: "leerlauf", Team: "hochschule", Priority: "standard", Image: "img-1", ImageGB: 0.3, Spot: true}
	inUse := job // one task on each of the two machines, which leaves room for one of the gang's on each
	inUse.ID, inUse.Kind, inUse.Tasks, inUse.CPUs, inUse.GB, inUse.Zone, inUse.EstimateS, inUse.RunS = "job-000001", "batch", 2, 9, 15, &zone, 200, 200
	j1 := c.newJob(inUse)
	go c.follow(j1, 0, stop)
	c.untilStarted(j1, 2, 20*time.Second)
	if trouble {
		w.mu.Lock()
		for _, x := range w.machines {
			if x.spot {
				x.giveNotice(12 * time.Second)
			}
		}
		w.mu.Unlock()
	}
	time.Sleep(3 * time.Second)
	scattered := job
	scattered.ID, scattered.Kind, scattered.Tasks, scattered.CPUs, scattered.GB, scattered.Spread, scattered.EstimateS, scattered.RunS = "job-000002", "gang", 4, 7, 13, true, 60, 30
	scattered.SaveEveryS, scattered.SaveS = 20, 3
	j2 := c.newJob(scattered)
	go c.follow(j2, 0, stop)
	time.Sleep(10 * time.Second) // until the cloud has taken the machine
	c.leftWaiting(j2, stop)
	if os.Getenv("EXPLORE") != "" {
		time.Sleep(time.Until(stop))
	}
	c.summary(time.Now())
	return w
}

// servicesFill: the cheap machine with room is taken back; services fill the others.
func servicesFill(record io.Writer) *world {
	s, params := harrowgate()
	w, c := startHarrowgate(record, s, params, map[string]int{"holdrack": 2})
	defer c.end()
	w.mu.Lock()
	w.rent("holdrack", "fremantle", true, 1, 0.2)
	w.mu.Unlock()
	time.Sleep(time.Second)
	stop := w.begin.Add(113 * time.Second)
	service := c.newJob(jobSpec{ID: "job-000001", Class: "auctionfeed", Team: "floorops", Kind: "standing", Priority: "standard", Tasks: 2, CPUs: 16, GB: 48, Image: "img-1", ImageGB: 0.4, RunS: 1e9})
	go c.follow(service, 0, stop)
	c.untilStarted(service, 2, 30*time.Second)
	if trouble {
		w.mu.Lock()
		for _, x := range w.machines {
			if x.spot {
				w.logf("the cloud takes %s back", x.id)
				w.take(x, "gone")
			}
		}
		w.mu.Unlock()
	}
	j := c.newJob(jobSpec{ID: "job-000002", Class: "sortsheet", Team: "floorops", Kind: "batch", Priority: "standard", Tasks: 4, CPUs: 2, GB: 3.9, Image: "img-2", ImageGB: 0.4,
		Spot: true, EstimateS: 18, RunS: 18})
	go c.follow(j, 0, stop)
	time.Sleep(time.Until(stop.Add(-time.Second)))
	w.mu.Lock()
	if j.started == 0 {
		w.breaks("must_run", "%s, accepted %.1f s ago, has not begun, and no machine was rented for it", j.spec.ID, time.Since(j.acceptedAt).Seconds())
	}
	w.mu.Unlock()
	c.summary(stop)
	return w
}

// queueFillsLimit: the cheap machine of a zone is taken back, and the cloud has no more there. An
// array that is bound to the zone is queued behind another team's job; then another job of its team
// comes, which may run anywhere.
func queueFillsLimit(record io.Writer) *world {
	s, params := brandli()
	s.BootMin, s.BootMax = 15, 37
	for _, t := range s.Types {
		s.Capacity[t.Name+" in dachraum"] = 0
	}
	s.Capacity["rackturm in dachraum"] = 2
	w := newWorld(s, record)
	c := newCluster(w, params, []string{"raumost", "raumwest", "keller"})
	defer c.end()
	w.mu.Lock()
	w.rent("rackturm", "dachraum", false, 1, 0.2)
	w.rent("rackturm", "dachraum", true, 1, 0.2)
	w.rent("rackturm", "raumost", false, 2, 0.2)
	w.mu.Unlock()
	s.Capacity["rackturm in dachraum"] = 0
	for i := range c.nodes {
		c.start(i)
	}
	c.probe()
	if !c.waitUp(20 * time.Second) {
		c.end()
		fatal("controllers do not start")
	}
	time.Sleep(time.Second)
	stop := w.begin.Add(114 * time.Second)
	zone := "dachraum"
	job := jobSpec{Class: "flashround", Kind: "batch", Priority: "standard", CPUs: 1, GB: 1.2, Image: "img-1", ImageGB: 0.3}
	filler := job // fills the ordinary machine of the zone
	filler.ID, filler.Team, filler.Tasks, filler.Zone, filler.EstimateS, filler.RunS = "job-000001", "geraete", 16, &zone, 100, 200
	j1 := c.newJob(filler)
	go c.follow(j1, 0, stop)
	c.untilStarted(j1, 16, 20*time.Second)
	if trouble {
		w.mu.Lock()
		for _, x := range w.machines {
			if x.spot {
				x.giveNotice(12 * time.Second)
			}
		}
		w.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	bound := job
	bound.ID, bound.Team, bound.Tasks, bound.Zone, bound.Spot, bound.EstimateS, bound.RunS = "job-000002", "labor", 80, &zone, true, 3, 3
	j2 := c.newJob(bound)
	go c.follow(j2, 0, stop)
	time.Sleep(2 * time.Second)
	anywhere := job
	anywhere.ID, anywhere.Team, anywhere.Tasks, anywhere.Spot, anywhere.EstimateS, anywhere.RunS = "job-000003", "labor", 4, true, 10, 10
	j3 := c.newJob(anywhere)
	go c.follow(j3, 0, stop)
	time.Sleep(10 * time.Second) // until the cloud has taken the machine
	c.leftWaiting(j3, stop)
	c.summary(time.Now())
	return w
}
