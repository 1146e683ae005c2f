package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func brandli() (*site, m) {
	s := &site{ReportS: 3, LeaseS: 20, GangWaitS: 30, GangPeerS: 5, CancelS: 40, ListLagS: 8, BootMin: 1, BootMax: 12,
		Types:    []mtype{{"tischbox", 8, 32, 0.3, 0.07, 0.6, 50}, {"rackturm", 16, 32, 0.5, 0.13, 0.6, 25}},
		Zones:    []string{"raumost", "raumwest", "keller", "dachraum"},
		Teams:    []team{{"geraete", 64, 264}, {"firmware", 56, 128}, {"kunden", 80, 128}, {"labor", 48, 80}},
		Capacity: map[string]int{"tischbox": 16, "rackturm": 16}}
	return s, settingsOf(s, 3, 200, 80, 16, 12, 6)
}

func settingsOf(s *site, count int, rps, wps, kb float64, ops int, cloudRPS float64) m {
	teams := []m{}
	for _, t := range s.Teams {
		teams = append(teams, m{"name": t.Name, "cpus": t.CPUs, "cpus_max": t.MaxCPUs, "gpus": 0.0, "gpus_max": 0.0})
	}
	return m{"count": count, "zones": s.Zones, "clock_error_ms": 5.0, "teams": teams,
		"objectives": []m{{"kind": "wait", "class": "benchsweep", "within_s": 15.0, "share": 0.9}, {"kind": "finished", "class": "benchsweep", "within_s": 400.0, "share": 0.9},
			{"kind": "deadline", "class": "flashround", "share": 0.9, "times": 1.0}, {"kind": "guarantee", "within_s": 10.0, "share": 0.85}},
		"workers": m{"report_s": s.ReportS, "lease_s": s.LeaseS, "gang_wait_s": s.GangWaitS, "gang_peer_s": s.GangPeerS, "cancel_s": s.CancelS},
		"state":   m{"rps": rps, "write_rps": wps, "value_kb": kb, "txn_ops": ops},
		"cloud":   m{"rps": cloudRPS, "list_lag_s": s.ListLagS},
		"limits":  m{"cpu": 0.24, "ram_mb": 179.0, "max_connections": 2000}}
}

func init() { cases["fuzz"] = fuzz }

func randomJob(s *site, r *rand.Rand, n int) jobSpec {
	j := jobSpec{ID: fmt.Sprintf("job-%06d", (100000+n*7919)%1000000), Class: "flashround", Team: s.Teams[r.IntN(len(s.Teams))].Name, Kind: "batch",
		Priority: []string{"production", "high", "standard", "best_effort"}[r.IntN(4)], Tasks: uint64(1 + r.IntN(30)), CPUs: 1, GB: 1.2,
		Image: fmt.Sprintf("img-%d", r.IntN(4)), ImageGB: 0.6, Spot: r.IntN(2) == 0, RunS: 2 + 20*r.Float64()}
	if r.IntN(4) == 0 {
		j.Tasks = 1
	}
	switch r.IntN(8) {
	case 0, 1:
		j.Class, j.Kind, j.Priority, j.Tasks, j.CPUs, j.GB, j.OneZone = "benchsweep", "gang", "high", uint64(1+r.IntN(3)), 7, 13, r.IntN(2) == 0
		j.RunS, j.SaveEveryS, j.SaveS = 10+20*r.Float64(), 20, 3
	case 2:
		j.Kind, j.Tasks = "standing", uint64(1+r.IntN(4))
	case 3:
		j.CPUs, j.GB, j.SaveEveryS, j.SaveS = 2, 4, 5, 2
	}
	if j.Tasks > 1 && r.IntN(4) == 0 {
		j.Spread, j.OneZone = true, false
	}
	if r.IntN(6) == 0 {
		z := s.Zones[r.IntN(len(s.Zones))]
		j.Zone, j.Spread = &z, false
	} else if r.IntN(5) == 0 && !j.Spread {
		j.OneZone = true
	}
	if r.IntN(8) == 0 {
		j.Types = []string{s.Types[r.IntN(2)].Name}
	}
	switch os.Getenv("MODE") {
	case "quota":
		j.Team, j.Zone, j.Types = "labor", nil, nil
		if r.IntN(3) > 0 {
			j.RunS += 15
		}
	case "place":
		j.Spread, j.OneZone, j.Zone, j.Types = false, false, nil, nil
		if j.Tasks = uint64(2 + r.IntN(8)); r.IntN(2) == 0 {
			j.Spread = true
		} else {
			j.OneZone = true
		}
		if j.Kind == "gang" {
			j.Tasks = uint64(2 + r.IntN(3))
		}
	}
	j.EstimateS = j.RunS * (0.5 + r.Float64())
	if j.Kind == "standing" {
		j.EstimateS = 0
	}
	return j
}

// fuzz plays random jobs and random troubles.
func fuzz(record io.Writer) *world {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 1))
	s, params := brandli()
	if seed%3 == 0 && os.Getenv("MODE") == "" {
		s.Capacity = map[string]int{"tischbox": 8, "rackturm": 6}
	}
	w := newWorld(s, record)
	c := newCluster(w, params, []string{"raumost", "raumwest", "keller"})
	defer c.end()
	w.mu.Lock()
	for _, z := range s.Zones {
		w.rent("tischbox", z, false, 1, 0.5)
		w.rent("rackturm", z, r.IntN(2) == 0, 1, 0.5)
	}
	w.mu.Unlock()
	for i := range c.nodes {
		c.start(i)
	}
	c.probe()
	if !c.waitUp(20 * time.Second) {
		fatal("controllers do not start")
	}
	begin := time.Now()
	stop := begin.Add(88 * time.Second)
	quiet := begin.Add(62 * time.Second)
	if e, _ := strconv.Atoi(os.Getenv("EXPLORE")); e > 0 {
		quiet = begin.Add(time.Duration(e) * time.Second)
		stop = quiet.Add(120 * time.Second)
	}
	go func() {
		rate := []time.Duration{300, 600, 1200}[seed%3] * time.Millisecond
		for n := 0; time.Now().Before(quiet); n++ {
			j := c.newJob(randomJob(s, r, n))
			cancel := time.Duration(0)
			if rand.IntN(4) == 0 || j.spec.Kind == "standing" {
				cancel = time.Duration(rand.IntN(30000)) * time.Millisecond
				if rand.IntN(4) == 0 && os.Getenv("MODE") != "quota" {
					cancel = time.Duration(rand.IntN(300)) * time.Millisecond
				}
			}
			go c.follow(j, cancel, stop)
			time.Sleep(time.Duration(float64(rate) * (0.5 + rand.Float64())))
		}
	}()
	if trouble {
		w.mu.Lock()
		if rand.IntN(2) == 0 {
			w.lateReports = func(x *machine, body []byte) {
				if rand.IntN(100) < 15 {
					after := time.Duration(2000+rand.IntN(28000)) * time.Millisecond
					time.AfterFunc(after, func() {
						for _, l := range w.links {
							go call(userClient, 4*time.Second, "POST", "http://"+l.addr+"/v1/report", body)
						}
					})
				}
			}
		}
		w.mu.Unlock()
		for time.Now().Before(quiet) {
			c.randomTrouble(r)
			time.Sleep(time.Duration(300+r.IntN(4000)) * time.Millisecond)
		}
	}
	if os.Getenv("EXPLORE") != "" {
		w.mu.Lock()
		for _, x := range w.machines {
			x.latePct = 0
		}
		w.lateReports = nil
		for _, j := range w.jobs {
			if j.spec.Kind == "standing" && j.cancelAsked.IsZero() {
				go c.abort(j, stop)
			}
		}
		w.mu.Unlock()
	}
	time.Sleep(time.Until(stop))
	w.mu.Lock()
	for _, j := range w.jobs {
		if !j.acceptedAt.IsZero() && j.cancelAsked.IsZero() && j.doneAt.IsZero() && j.spec.Kind != "standing" {
			w.logf("unfinished: %s %s %d tasks, done %d, started %d, accepted at %.1f", j.spec.ID, j.spec.Kind, j.spec.Tasks, j.doneTasks, j.started, j.acceptedAt.Sub(w.begin).Seconds())
		}
	}
	w.mu.Unlock()
	return w
}

func (c *cluster) randomTrouble(r *rand.Rand) {
	w := c.w
	i := r.IntN(len(c.nodes))
	d := time.Duration(500+r.IntN(int(envFloat("LONGEST", 14)*1000))) * time.Millisecond
	later := func(f func()) { time.AfterFunc(d, f) }
	machines := func(f func(x *machine)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for range 1 + r.IntN(4) {
			if x := w.machines[w.order[r.IntN(len(w.order))]]; x.state == "running" {
				f(x)
			}
		}
	}
	busy := c.nodes[i].paused
	k := r.IntN(19)
	switch os.Getenv("MODE") {
	case "quota", "place":
		k = []int{0, 0, 1, 3, 5, 8, 9, 10, 13, 14, 14, 14, 15, 16, 17, 18}[r.IntN(16)]
	case "restart":
		k = []int{0, 0, 0, 1, 1, 2, 3, 5, 9, 18}[r.IntN(10)]
	}
	switch k {
	case 0, 1:
		if busy {
			return
		}
		c.nodes[i].paused = true
		sig := syscall.SIGKILL
		if k == 1 {
			sig = syscall.SIGTERM
		}
		go func() {
			c.signal(i, sig, true)
			time.Sleep([]time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second}[rand.IntN(3)])
			c.start(i)
			c.nodes[i].paused = false
		}()
	case 2:
		c.logf("all controllers end")
		for n := range c.nodes {
			if c.nodes[n].paused {
				continue
			}
			c.nodes[n].paused = true
			go func() {
				c.kill(n)
				time.Sleep(time.Duration(100+rand.IntN(6000)) * time.Millisecond)
				c.start(n)
				c.nodes[n].paused = false
			}()
		}
	case 3, 4:
		if busy {
			return
		}
		c.nodes[i].paused = true
		c.signal(i, syscall.SIGSTOP, false)
		later(func() { c.signal(i, syscall.SIGCONT, false); c.nodes[i].paused = false })
	case 5:
		c.logf("state service refuses %d for %v", i, d)
		c.nodes[i].state.refuse.Store(true)
		later(func() { c.nodes[i].state.refuse.Store(false) })
	case 6:
		c.logf("state service is out for %v", d)
		c.state.setOutage(true)
		later(func() { c.state.setOutage(false) })
	case 7:
		c.logf("state service is slow for %v", d)
		for _, n := range c.nodes {
			n.state.slowMS.Store(int64(100 + r.IntN(1200)))
		}
		later(func() {
			for _, n := range c.nodes {
				n.state.slowMS.Store(0)
			}
		})
	case 8:
		c.logf("half of the answers of the state service are lost for %v", d)
		c.nodes[i].state.lostPct.Store(50)
		later(func() { c.nodes[i].state.lostPct.Store(0) })
	case 9:
		c.logf("late writes for %v", d)
		for _, n := range c.nodes {
			n.state.latePct.Store(30)
		}
		later(func() {
			for _, n := range c.nodes {
				n.state.latePct.Store(0)
			}
		})
	case 10, 11:
		mode := []string{"refuse", "hold", "drop", "reset"}[r.IntN(4)]
		c.logf("controller %d and the others: %s for %v", i, mode, d)
		c.cutPeers(i, mode)
		later(func() { c.cutPeers(i, "") })
	case 12:
		c.logf("controller %d cut from state and peers for %v", i, d)
		c.cutPeers(i, "hold")
		c.nodes[i].state.cut.Store(true)
		later(func() { c.cutPeers(i, ""); c.nodes[i].state.cut.Store(false) })
	case 13:
		c.logf("workers can't reach %d for %v", i, d)
		w.mu.Lock()
		c.nodes[i].link.workersCut = true
		w.mu.Unlock()
		later(func() { w.mu.Lock(); c.nodes[i].link.workersCut = false; w.mu.Unlock() })
	case 14:
		machines(func(x *machine) {
			w.logf("%s hangs for %v", x.id, d)
			x.hungUntil = time.Now().Add(d)
		})
	case 15:
		machines(func(x *machine) {
			w.logf("%s is deaf for %v", x.id, 2*d)
			x.deafUntil = time.Now().Add(2 * d)
		})
	case 16:
		machines(func(x *machine) {
			w.logf("%s is mute for %v", x.id, 2*d)
			x.muteUntil = time.Now().Add(2 * d)
		})
	case 17:
		machines(func(x *machine) {
			w.logf("%s is taken", x.id)
			if r.IntN(2) == 0 && x.spot {
				w.take(x, "gone")
			} else {
				w.take(x, "failed")
			}
		})
	case 18:
		machines(func(x *machine) {
			w.logf("direct commands to %s are late", x.id)
			x.latePct = 30
		})
	}
}
