package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func fatal(v ...any) {
	fmt.Fprintln(os.Stderr, v...)
	os.Exit(2)
}

// world holds the machines, the jobs as users know them, and the checks of the rules.
type world struct {
	mu          sync.Mutex
	site        *site
	begin       time.Time
	record      io.Writer
	machines    map[string]*machine
	order       []string
	lastVM      int
	requests    map[string][]string
	jobs        map[string]*userJob
	results     map[string]bool    // tasks that have completed
	progress    map[string]float64 // saved run time by task
	on          map[string][]*task // tasks on machines, by task
	broken      []string
	seen        map[string]bool
	starts      int
	snapshots   []snapshot
	links       []*nodeLink
	lateReports func(x *machine, body []byte)
	// lenient workers take bodies above the limit of the pages, and only note them.
	lenient   bool
	onExpired func(x *machine, lost []*task) // a worker's lease has expired
	onLarge   func(what string, size int)
}

type snapshot struct {
	at   time.Time
	list []m
}

type userJob struct {
	spec        jobSpec
	submitted   bool // an attempt to submit was made
	acceptedAt  time.Time
	refused     bool
	cancelAsked time.Time
	cancelledAt time.Time // when a user was first told
	doneAt      time.Time // when a user was first told
	lastDone    time.Time // when its last task completed
	doneTasks   int
	lastAnswer  time.Time
	started     int
}

type site struct {
	ReportS, LeaseS, GangWaitS, GangPeerS, CancelS float64
	Types                                          []mtype
	Zones                                          []string
	Teams                                          []team
	ListLagS                                       float64
	BootMin, BootMax                               float64
	Capacity                                       map[string]int // by type, or by type and zone
}

type mtype struct {
	Name             string
	CPUs, GB, Price  float64
	SpotPrice        float64
	FetchGBPS, BootS float64
}

type team struct {
	Name          string
	CPUs, MaxCPUs float64
}

type task struct {
	m        *machine
	id       string
	job      *userJob
	attempt  uint64
	state    string
	cause    string
	saved    bool
	left     float64 // of the present state
	ran      float64
	onIt     bool
	fails    bool // it was started on a machine that fails its tasks
	peerLost float64
}

type machine struct {
	w            *world
	id, typ      string
	zone         string
	spot         bool
	addr         string
	state        string // booting, running, failed, gone
	rentedAt     time.Time
	upAt         time.Time
	hungUntil    time.Time
	muteUntil    time.Time // reports reach no controller
	deafUntil    time.Time // answers and commands are lost
	session, seq uint64
	token        uint64
	leaseFrom    time.Time
	tasks        []*task
	lastTick     time.Time
	changed      bool
	reportNow    chan struct{}
	takenAt      time.Time // when the cloud takes it back, after a notice
	ln           net.Listener
	sick         bool
	slow         float64
	latePct      int // share of direct commands that are held up
}

func newWorld(s *site, record io.Writer) *world {
	w := &world{site: s, begin: time.Now(), record: record, machines: map[string]*machine{}, requests: map[string][]string{}, jobs: map[string]*userJob{},
		results: map[string]bool{}, progress: map[string]float64{}, on: map[string][]*task{}, seen: map[string]bool{}}
	go func() {
		for range time.Tick(25 * time.Millisecond) {
			w.mu.Lock()
			w.tick(time.Now())
			w.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			w.mu.Lock()
			w.snapshots = append(w.snapshots, snapshot{time.Now(), w.listNow()})
			w.mu.Unlock()
		}
	}()
	return w
}

func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// logTask logs an event of a task, of large jobs only for the first tasks.
func (w *world) logTask(id, format string, args ...any) {
	if _, index, _ := strings.Cut(id, "/"); len(index) <= 2 {
		w.logf(format, args...)
	}
}

// breaks records that a rule was broken. The caller holds mu.
func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.broken = append(w.broken, text)
}

func (w *world) typeOf(name string) mtype {
	for _, t := range w.site.Types {
		if t.Name == name {
			return t
		}
	}
	return mtype{}
}

// rent adds machines. The caller holds mu.
func (w *world) rent(typ, zone string, spot bool, n int, boot float64) (ids []string) {
	for range n {
		have, inZone := 0, 0
		for _, x := range w.machines {
			if x.typ == typ && x.state != "gone" {
				have++
				if x.zone == zone {
					inZone++
				}
			}
		}
		if most, ok := w.site.Capacity[typ+" in "+zone]; have >= w.site.Capacity[typ] || ok && inZone >= most {
			break
		}
		w.lastVM++
		x := &machine{w: w, id: fmt.Sprintf("vm-%06d", w.lastVM), typ: typ, zone: zone, spot: spot, state: "booting", rentedAt: time.Now(), reportNow: make(chan struct{}, 1), slow: 1}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		x.ln, x.addr = ln, ln.Addr().String()
		x.upAt = time.Now().Add(time.Duration(boot * float64(time.Second)))
		w.machines[x.id] = x
		w.order = append(w.order, x.id)
		ids = append(ids, x.id)
		w.logf("rented %s %s %s spot=%v up in %.1f s", x.id, typ, zone, spot, boot)
	}
	return ids
}

// take removes a machine with all that is on it. The caller holds mu.
func (w *world) take(x *machine, state string) {
	if x.state == "gone" || x.state == "failed" {
		x.state = state
		return
	}
	w.logf("machine %s is %s", x.id, state)
	x.killAll("its machine is gone")
	x.state = state
	go x.ln.Close()
}

// giveNotice announces that the cloud takes the machine back after a time. The caller holds mu.
func (x *machine) giveNotice(after time.Duration) {
	x.w.logf("the cloud takes %s back in %v", x.id, after)
	x.takenAt = time.Now().Add(after)
	x.wake()
	time.AfterFunc(after, func() {
		x.w.mu.Lock()
		defer x.w.mu.Unlock()
		x.w.take(x, "gone")
	})
}

func (x *machine) killAll(why string) {
	for _, t := range x.tasks {
		if t.onIt {
			x.w.left(t, why)
		}
	}
	x.tasks = nil
}

// left notes that a task is not on its machine any more. The caller holds mu.
func (w *world) left(t *task, why string) {
	if !t.onIt {
		return
	}
	t.onIt = false
	list := w.on[t.id]
	for i, o := range list {
		if o == t {
			w.on[t.id] = append(list[:i:i], list[i+1:]...)
		}
	}
	w.logTask(t.id, "task %s attempt %d left %s: %s", t.id, t.attempt, t.m.id, why)
}

// arrived notes that a task has its image and is on its machine from now on, and checks the rules
// for starts. The caller holds mu.
func (w *world) arrived(t *task) {
	w.starts++
	t.job.started++
	w.logTask(t.id, "task %s attempt %d on %s (%s %s spot=%v)", t.id, t.attempt, t.m.id, t.m.typ, t.m.zone, t.m.spot)
	for _, o := range w.on[t.id] {
		w.breaks("ran_twice", "%s attempt %d starts on %s while attempt %d is on %s", t.id, t.attempt, t.m.id, o.attempt, o.m.id)
	}
	j := t.job
	if s := j.spec; s.Zone != nil && *s.Zone != t.m.zone || t.m.spot && !s.Spot || len(s.Types) > 0 && !contains(s.Types, t.m.typ) {
		w.breaks("wrong_place", "%s on %s (%s %s spot=%v)", t.id, t.m.id, t.m.typ, t.m.zone, t.m.spot)
	}
	zones := map[string]int{}
	for id, list := range w.on {
		if strings.HasPrefix(id, j.spec.ID+"/") {
			for _, o := range list {
				zones[o.m.zone]++
			}
		}
	}
	if j.spec.OneZone {
		for zone, n := range zones {
			if n > 0 && zone != t.m.zone {
				w.breaks("wrong_place", "%s starts in %s while %d tasks of its job are in %s", t.id, t.m.zone, n, zone)
			}
		}
	}
	if j.spec.Spread && zones[t.m.zone]+1 > int(j.spec.Tasks+1)/2 {
		w.breaks("wrong_place", "%s is number %d of %d in %s", t.id, zones[t.m.zone]+1, j.spec.Tasks, t.m.zone)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt).Seconds() > w.site.CancelS {
		w.breaks("ran_cancelled", "%s starts %.1f s after its user was told", t.id, time.Since(j.cancelledAt).Seconds())
	}
	t.onIt = true
	w.on[t.id] = append(w.on[t.id], t)
	w.checkQuota(j.spec.Team)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (w *world) checkQuota(name string) {
	for _, tm := range w.site.Teams {
		if tm.Name != name || tm.MaxCPUs == 0 {
			continue
		}
		sum := 0.0
		for _, list := range w.on {
			for _, t := range list {
				if t.job.spec.Team == name {
					sum += t.job.spec.CPUs
				}
			}
		}
		if sum > tm.MaxCPUs+1e-6 {
			w.breaks("quota", "team %s uses %.2f of %.2f", name, sum, tm.MaxCPUs)
		}
	}
}

// tick advances the machines. The caller holds mu.
func (w *world) tick(now time.Time) {
	for _, id := range w.order {
		x := w.machines[id]
		switch {
		case x.state == "booting" && now.After(x.upAt):
			x.state, x.session, x.leaseFrom, x.lastTick = "running", 1, now, now
			w.logf("machine %s is up", x.id)
			go func() { _ = (&http.Server{Handler: x}).Serve(x.ln) }()
			go x.reportLoop()
		case x.state == "running" && now.After(x.hungUntil):
			x.tick(now)
		case x.state == "running": // it hangs, and may go on within its lease only
			x.expire(now)
			x.lastTick = now
		}
	}
	for _, j := range w.jobs {
		if j.cancelledAt.IsZero() || now.Sub(j.cancelledAt).Seconds() <= w.site.CancelS || w.seen["rc"+j.spec.ID] {
			continue
		}
		for id, list := range w.on {
			if strings.HasPrefix(id, j.spec.ID+"/") && len(list) > 0 {
				w.seen["rc"+j.spec.ID] = true
				w.breaks("ran_cancelled", "%s is on %s %.1f s after its user was told", id, list[0].m.id, now.Sub(j.cancelledAt).Seconds())
				break
			}
		}
	}
}

func (x *machine) tick(now time.Time) {
	dt := now.Sub(x.lastTick).Seconds()
	x.lastTick = now
	x.expire(now)
	for _, t := range append([]*task{}, x.tasks...) {
		x.advance(t, min(dt, 1))
	}
}

// expire ends the session if the lease has run out.
func (x *machine) expire(now time.Time) {
	if now.Sub(x.leaseFrom).Seconds() > x.w.site.LeaseS {
		x.w.logf("lease of %s expired, session %d ends", x.id, x.session)
		if x.w.onExpired != nil {
			x.w.onExpired(x, x.tasks)
		}
		x.killAll("the lease expired")
		x.session++
		x.leaseFrom = now
		x.wake()
	}
}

func (x *machine) wake() {
	x.changed = true
	select {
	case x.reportNow <- struct{}{}:
	default:
	}
}

func (x *machine) end(t *task, cause string) {
	if t.state == "ended" {
		return
	}
	x.w.left(t, "ended, "+cause)
	t.state, t.cause = "ended", cause
	x.wake()
}

func (t *task) gang() bool { return t.job.spec.Kind == "gang" && t.job.spec.Tasks > 1 }

// mates lists the other tasks of a gang's attempt that are on live machines.
func (t *task) mates() (all []*task, hung bool) {
	for i := range t.job.spec.Tasks {
		id := fmt.Sprintf("%s/%d", t.job.spec.ID, i)
		for _, o := range t.m.w.on[id] {
			if o.attempt == t.attempt && o.state != "ended" {
				all = append(all, o)
				hung = hung || time.Now().Before(o.m.hungUntil)
			}
		}
	}
	return all, hung
}

func (x *machine) advance(t *task, dt float64) {
	w := x.w
	switch t.state {
	case "fetching":
		if t.left -= dt; t.left > 0 {
			return
		}
		w.arrived(t)
		t.fails = x.sick
		x.wake()
		switch {
		case w.results[t.id]:
			x.end(t, "done")
		case t.gang():
			t.state, t.left = "gathering", w.site.GangWaitS
		default:
			t.state, t.left = "running", t.job.spec.RunS-w.progress[t.id]
		}
	case "gathering":
		mates, _ := t.mates()
		ready := 0
		for _, o := range mates {
			if o.state == "gathering" {
				ready++
			}
		}
		if ready == int(t.job.spec.Tasks) {
			for _, o := range mates {
				o.state, o.left = "running", t.job.spec.RunS-w.progress[t.job.spec.ID]
				o.m.wake()
			}
		} else if t.left -= dt; t.left <= 0 {
			x.end(t, "incomplete")
		}
	case "running":
		if t.gang() {
			mates, hung := t.mates()
			if len(mates) < int(t.job.spec.Tasks) || hung {
				if t.peerLost += dt; t.peerLost > w.site.GangPeerS {
					x.end(t, "mates_gone")
				}
				return
			}
			t.peerLost = 0
		}
		t.left -= dt / x.slow
		t.ran += dt / x.slow
		if t.ran > 1 && t.fails {
			x.end(t, "error")
			return
		}
		if t.left > 0 || t.job.spec.Kind == "standing" {
			return
		}
		if t.gang() {
			mates, _ := t.mates()
			for _, o := range mates {
				w.completed(o)
			}
			for _, o := range mates {
				o.m.end(o, "done")
			}
			return
		}
		w.completed(t)
		x.end(t, "done")
	case "saving":
		if t.left -= dt; t.left <= 0 {
			t.saved = true
			if !t.gang() {
				w.progress[t.id] += t.ran
			}
			x.end(t, "stopped")
		}
	}
}

func (w *world) completed(t *task) {
	if !w.results[t.id] {
		w.results[t.id] = true
		t.job.doneTasks++
		if t.job.doneTasks == int(t.job.spec.Tasks) {
			t.job.lastDone = time.Now()
			w.logf("job %s: its last task has completed", t.job.spec.ID)
		}
	}
}

// execute carries orders out. The caller holds mu.
func (x *machine) execute(orders []order) {
	for _, o := range orders {
		var t *task
		var other bool
		for _, have := range x.tasks {
			if have.id == o.Task {
				if have.attempt == o.Attempt {
					t = have
				} else if have.state != "ended" {
					other = true
				}
			}
		}
		switch o.Op {
		case "start":
			if t == nil {
				x.start(o, other)
			}
		case "kill":
			if t != nil && t.state != "ended" {
				x.kill(t, o.GraceS)
			}
		case "reap":
			if t != nil && t.state == "ended" {
				for i, have := range x.tasks {
					if have == t {
						x.tasks = append(x.tasks[:i:i], x.tasks[i+1:]...)
					}
				}
				x.wake()
			}
		}
	}
}

func (x *machine) start(o order, other bool) {
	w := x.w
	job, index, _ := strings.Cut(o.Task, "/")
	j := w.jobs[job]
	i, err := strconv.ParseUint(index, 10, 32)
	t := &task{m: x, id: o.Task, job: j, attempt: o.Attempt, state: "fetching"}
	x.tasks = append(x.tasks, t)
	x.wake()
	w.logTask(o.Task, "start of %s attempt %d at %s", o.Task, o.Attempt, x.id)
	if j == nil || !j.submitted || err != nil || i >= j.spec.Tasks {
		t.state, t.cause = "ended", "unknown"
		if !w.seen["unk"+o.Task] {
			w.seen["unk"+o.Task] = true
			w.logf("start of an unknown task %s", o.Task)
		}
		return
	}
	if other {
		t.state, t.cause = "ended", "in_use"
		return
	}
	mt := w.typeOf(x.typ)
	cpus, gb := mt.CPUs, mt.GB
	for _, have := range x.tasks {
		if have != t && have.state != "ended" {
			cpus -= have.job.spec.CPUs
			gb -= have.job.spec.GB
		}
	}
	if j.spec.CPUs > cpus+1e-6 || j.spec.GB > gb+1e-6 {
		t.state, t.cause = "ended", "full"
		w.logf("start of %s at %s refused: full", o.Task, x.id)
		return
	}
	t.left = 0.05 + j.spec.ImageGB/mt.FetchGBPS
}

func (x *machine) kill(t *task, grace float64) {
	switch {
	case t.state == "running" && t.job.spec.SaveEveryS > 0 && grace >= t.job.spec.SaveS:
		t.state, t.left = "saving", t.job.spec.SaveS
		x.wake()
	case t.state == "saving" && grace > 0:
	default:
		x.end(t, "stopped")
	}
}

// report returns the machine's report. The caller holds mu.
func (x *machine) report() m {
	x.seq++
	list := []m{}
	for _, t := range x.tasks {
		e := m{"haul": t.id, "launch": t.attempt, "bearing": t.state}
		if t.state == "ended" {
			e["wreckcause"] = t.cause
			if t.saved {
				e["saved"] = true
			}
		}
		list = append(list, e)
	}
	r := m{"vessel": x.id, "address": x.addr, "hull": x.typ, "quay": x.zone, "driftstock": x.spot,
		"watch": x.session, "logline": x.seq, "helm": x.token, "recall_s": nil, "hauls": list}
	if !x.takenAt.IsZero() {
		r["recall_s"] = max(0, time.Until(x.takenAt).Seconds())
	}
	return r
}

func (x *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	w := x.w
	for {
		w.mu.Lock()
		now := time.Now()
		if x.state != "running" || now.Before(x.deafUntil) {
			w.mu.Unlock()
			hang(r)
		}
		if !now.Before(x.hungUntil) {
			break
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond) // carried out when the machine goes on
	}
	defer w.mu.Unlock()
	if r.URL.Path == "/show" {
		respond(rw, 200, x.report())
		return
	}
	var c commands
	if len(body) > maxBody {
		w.logf("direct command of %d bytes at %s", len(body), x.id)
		if w.onLarge != nil {
			w.onLarge("direct command", len(body))
		}
		if !w.lenient {
			respond(rw, 413, nil)
			return
		}
	}
	if err := decode(body, &c); err != nil || c.Token == nil || c.Session == nil {
		respond(rw, 400, m{"error": "malformed"})
		return
	}
	if rand.IntN(100) < x.latePct {
		// Held up on its way: carried out once, 2 to 16 s late, unanswered.
		time.AfterFunc(time.Duration(2000+rand.IntN(14000))*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			x.take(&c)
		})
		w.mu.Unlock()
		defer w.mu.Lock()
		hang(r)
	}
	status := x.take(&c)
	respond(rw, status, x.report())
}

func (x *machine) take(c *commands) int {
	if x.state != "running" || *c.Token < x.token || *c.Session != x.session {
		return 409
	}
	if *c.Token > x.token {
		x.token = *c.Token
		x.wake()
	}
	x.execute(c.Orders)
	return 200
}

// nodeLink is the way of workers and users to one controller.
type nodeLink struct {
	name, addr string
	workersCut bool // reports don't reach it
	usersCut   bool
}

func (x *machine) reportLoop() {
	client := newClient()
	defer client.CloseIdleConnections()
	w := x.w
	at := rand.IntN(len(w.links))
	next := time.Now()
	last := time.Time{}
	for {
		w.mu.Lock()
		gone, hung := x.state != "running", time.Now().Before(x.hungUntil)
		w.mu.Unlock()
		if gone {
			return
		}
		if hung {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		wait := time.Until(next)
		if wait > 0 {
			select {
			case <-x.reportNow:
				early := last.Add(500 * time.Millisecond)
				if early.After(time.Now()) {
					time.Sleep(time.Until(early))
				}
			case <-time.After(min(wait, 50*time.Millisecond)):
				if time.Now().Before(next) {
					continue
				}
			}
		}
		last = time.Now()
		next = last.Add(time.Duration(w.site.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second)))
		pause, to := x.reportOnce(client, at)
		if to != at {
			client.CloseIdleConnections()
		}
		at = to
		if pause > 0 {
			next = time.Now().Add(pause)
			time.Sleep(pause)
			next = time.Now()
		}
	}
}

// reportOnce sends a report and returns after which time to report again (0: as usual), and where.
func (x *machine) reportOnce(client *http.Client, at int) (time.Duration, int) {
	w := x.w
	w.mu.Lock()
	link := w.links[at]
	session := x.session
	body := encode(x.report())
	sent := time.Now()
	cut := link.workersCut || time.Now().Before(x.muteUntil)
	w.mu.Unlock()
	other := (at + 1) % len(w.links)
	if cut {
		time.Sleep(4 * time.Second)
		return time.Second, other
	}
	if w.lateReports != nil {
		w.lateReports(x, body)
	}
	status, answer, _ := call(client, 4*time.Second, "POST", "http://"+link.addr+"/v1/report", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	for time.Now().Before(x.hungUntil) { // the machine stands still meanwhile
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
	}
	if time.Since(sent) > 4*time.Second || time.Now().Before(x.deafUntil) || link.workersCut {
		status = 0
	}
	switch status {
	case 200:
		var r struct {
			Token  *uint64 `cbor:"helm"`
			Orders []order `cbor:"orders"`
		}
		if len(answer) > maxBody {
			w.logf("answer of %d bytes to a report of %s", len(answer), x.id)
			if w.onLarge != nil {
				w.onLarge("answer to a report", len(answer))
			}
			if !w.lenient {
				return time.Second, other
			}
		}
		if decode(answer, &r) != nil || r.Token == nil || *r.Token < x.token || session != x.session {
			return 0, at
		}
		if *r.Token > x.token {
			x.token = *r.Token
			x.wake()
		}
		x.leaseFrom = sent
		x.execute(r.Orders)
		return 0, at
	case 421:
		var r struct {
			To string `cbor:"harbormaster"`
		}
		_ = decode(answer, &r)
		for i, l := range w.links {
			if l.name == r.To && i != at {
				return time.Duration(rand.IntN(500)) * time.Millisecond, i
			}
		}
	case 413:
		w.logf("report of %d bytes of %s refused with 413", len(body), x.id)
	}
	return time.Second, other
}

// The cloud.

func (w *world) listNow() (list []m) {
	for _, id := range w.order {
		x := w.machines[id]
		if x.state == "gone" {
			continue
		}
		list = append(list, m{"id": x.id, "address": x.addr, "hull": x.typ, "quay": x.zone, "driftstock": x.spot, "bearing": x.state, "held_s": time.Since(x.rentedAt).Seconds()})
	}
	return list
}

type cloud struct {
	w      *world
	outage bool // guarded by w.mu
	rps    bucket
	never  bool // new machines never come up
	slow   float64
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(time.Duration(40+rand.IntN(80)) * time.Millisecond)
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.outage {
		respond(rw, 503, m{"error": "trouble"})
		return
	}
	if !c.rps.take(1) {
		respond(rw, 429, m{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		list := []m{}
		for _, t := range w.site.Types {
			list = append(list, m{"sku": t.Name, "cores": t.CPUs, "gpus": 0.0, "memory_gb": t.GB, "cache_gb": 60.0, "pull_gb_per_s": t.FetchGBPS,
				"price": t.Price, "market_price": t.SpotPrice, "ready_s": t.BootS, "quays": w.site.Zones})
		}
		respond(rw, 200, m{"hulls": list})
	case r.URL.Path == "/hosts" && r.Method == "POST":
		var q struct {
			Name  string `cbor:"charter"`
			Type  string `cbor:"hull"`
			Zone  string `cbor:"quay"`
			Spot  bool   `cbor:"driftstock"`
			Count int    `cbor:"number"`
		}
		if decode(body, &q) != nil || q.Count < 1 || q.Count > 50 || q.Name == "" {
			respond(rw, 400, m{"error": "malformed"})
			return
		}
		if have, ok := w.requests[q.Name]; ok {
			respond(rw, 200, m{"fleet": have})
			return
		}
		boot := w.site.BootMin + rand.Float64()*(w.site.BootMax-w.site.BootMin)
		if c.never {
			boot = 1e6
		}
		ids := w.rent(q.Type, q.Zone, q.Spot, q.Count, boot)
		if len(ids) == 0 {
			respond(rw, 503, m{"error": "no capacity"})
			return
		}
		w.requests[q.Name] = ids
		respond(rw, 200, m{"fleet": ids})
	case r.URL.Path == "/hosts/delete":
		var q struct {
			Names []string `cbor:"fleet"`
		}
		if decode(body, &q) != nil || len(q.Names) > 100 {
			respond(rw, 400, m{"error": "malformed"})
			return
		}
		for _, id := range q.Names {
			if x := w.machines[id]; x != nil {
				w.take(x, "gone")
			}
		}
		respond(rw, 200, m{})
	case r.URL.Path == "/hosts":
		limit, _ := strconv.Atoi(r.URL.Query().Get("page"))
		from := r.URL.Query().Get("from")
		lag := w.site.ListLagS * (0.8 + 0.4*rand.Float64())
		var list []m
		i := sort.Search(len(w.snapshots), func(i int) bool { return time.Since(w.snapshots[i].at).Seconds() < lag })
		if i > 0 {
			list = w.snapshots[i-1].list
		}
		out, more := []m{}, false
		for _, e := range list {
			if e["id"].(string) > from {
				if len(out) >= min(limit, 500) {
					more = true
					break
				}
				out = append(out, e)
			}
		}
		respond(rw, 200, m{"fleet": out, "more": more})
	default:
		respond(rw, 404, nil)
	}
}
