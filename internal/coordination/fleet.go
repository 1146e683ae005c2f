package coordination

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/bookkeeping"
	"damsonkeel/internal/protocol"
)

// fleetState is what the controller that rents machines keeps of them.
type fleetState struct {
	since    Time // when this view was adopted
	listed   map[protocol.MachineID]protocol.ListedMachine
	listedAt Time
	listing  bool
	haveList bool
	orphan   map[protocol.MachineID]Time // listed, not registered: since when
	coming   map[protocol.MachineID]coming
	rents    map[string]*rentCall
	requests uint64
	refused  map[kind]refusal
	deleting map[protocol.MachineID]Time
	returned map[protocol.MachineID]Time // lists may still show them
	lastPlan Time
	seen     map[protocol.MachineID]bool // listed as running at some time
}

// kind is what the cloud has or has not.
type kind struct {
	t    protocol.MachineType
	zone protocol.Zone
	spot bool
}

// coming is a machine rented that has not reported yet.
type coming struct {
	kind
	at Time
}

// refusal is a kind the cloud had none of: not asked for again for a while,
// longer each time.
type refusal struct {
	until Time
	pause time.Duration
}

type rentCall struct {
	req   protocol.RentRequest
	at    Time
	tries int
	busy  bool
}

func newFleetState() fleetState {
	return fleetState{
		listed: map[protocol.MachineID]protocol.ListedMachine{}, orphan: map[protocol.MachineID]Time{},
		coming: map[protocol.MachineID]coming{}, rents: map[string]*rentCall{}, refused: map[kind]refusal{},
		deleting: map[protocol.MachineID]Time{}, returned: map[protocol.MachineID]Time{}, seen: map[protocol.MachineID]bool{},
	}
}

func (f *fleetState) adopted(now Time) { f.since = now }

// Timings of the fleet. They follow from how machines boot and the list lags.
const (
	planEvery     = 2 * time.Second
	listEvery     = 5 * time.Second
	refusedPause  = 10 * time.Second
	refusedAtMost = time.Minute
	settleTime    = 4 * time.Second
)

// fleetStep rents and returns machines, if that is this controller's role.
func (c *Core) fleetStep() {
	f := &c.fleet
	if !c.acting() || len(c.types) == 0 || rendezvous(c.view, "fleet") != c.self {
		return
	}
	if !f.listing && (!f.haveList || c.since(f.listedAt) > listEvery) {
		f.listing = true
		c.do(ListMachines{})
	}
	for name, r := range inOrder(f.rents) {
		switch {
		case r.busy || c.since(r.at) < 2*time.Second:
		case r.tries > 5:
			delete(f.rents, name)
		default:
			// No answer came: the machines may be rented. Only the same name
			// asks without renting twice.
			c.rent(r)
		}
	}
	if !c.planning() || c.since(f.lastPlan) < planEvery {
		return
	}
	f.lastPlan = c.now
	c.noteComing()
	c.plan()
	c.returnMachines()
}

// noteComing drops from the machines awaited those that came or never will.
func (c *Core) noteComing() {
	f := &c.fleet
	for id, l := range f.listed {
		if _, ok := f.coming[id]; !ok && c.machines[id] == nil && l.State == "booting" && f.returned[id] == 0 {
			f.coming[id] = coming{kind{l.Type, l.Zone, l.Spot}, c.now - Time(l.AgeS*float64(time.Second))}
		}
	}
	for id, m := range f.coming {
		late := Time(c.bootLimit(m.t))
		if c.machines[id] != nil || c.now-m.at > late || f.returned[id] != 0 {
			delete(f.coming, id)
		}
	}
}

// bootLimit is how long a machine may take to come up before it is given up.
func (c *Core) bootLimit(t protocol.MachineType) time.Duration {
	return time.Duration(4*c.types[t].BootS*float64(time.Second)) + 30*time.Second
}

// slot is room for tasks: a machine that is up, or one that is coming.
type slot struct {
	info protocol.TypeInfo
	zone protocol.Zone
	spot bool
	free resources
}

// plan rents what the unstarted work needs beyond what is there or coming.
func (c *Core) plan() {
	f := &c.fleet
	var slots []slot
	for _, m := range inOrder(c.machines) {
		if c.usable(m) {
			slots = append(slots, slot{m.info, m.rec.Zone, m.rec.Spot, resources{m.told.FreeCPUs, m.told.FreeGPUs, m.told.FreeGB}})
		}
	}
	for _, m := range inOrder(f.coming) {
		slots = append(slots, slot{c.types[m.t], m.zone, m.spot, capacity(c.types[m.t])})
	}
	for _, r := range inOrder(f.rents) {
		for range r.req.Count {
			slots = append(slots, slot{c.types[r.req.Type], r.req.Zone, r.req.Spot, capacity(c.types[r.req.Type])})
		}
	}
	var demand []Demand
	for _, p := range c.peers {
		demand = append(demand, p.demand...)
	}
	slices.SortFunc(demand, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.OldestS, a.OldestS), cmp.Compare(a.Job, b.Job))
	})
	// Classes with room kept for them come first, then the room itself: the
	// rest must not count on it.
	for _, first := range []bool{true, false} {
		for _, d := range demand {
			if j := c.live[d.Job]; j != nil && (c.classes[j.Class] != nil) == first {
				c.planJob(j, d, &slots)
			}
		}
		if first {
			c.planReserves(&slots)
		}
	}
}

// planReserves takes the room kept for classes out of what there is, and
// rents what it lacks.
func (c *Core) planReserves(slots *[]slot) {
	for _, k := range inOrder(c.classes) {
		rest := c.reserve(k)
		if rest == 0 {
			continue
		}
		j := &liveJob{Job: k.job}
		rest = fill(j, rest, *slots)
		if rest > 0 {
			c.rentFor(j, rest, rest, slots)
		}
	}
}

// fill takes room for n tasks of a job out of slots, as far as there is, and
// returns how many are left without.
func fill(j *liveJob, n int, slots []slot) int {
	size := need(&j.Job)
	for i := range slots {
		s := &slots[i]
		if n == 0 {
			break
		}
		if !j.allowsKind(s.info, s.zone, s.spot) {
			continue
		}
		for n > 0 && s.free.covers(size) {
			s.free = s.free.minus(size)
			n--
		}
	}
	return n
}

// planJob fits a job's unstarted tasks into the room there is, and rents for
// the rest if waiting for room would take longer than a machine takes to boot.
func (c *Core) planJob(j *liveJob, d Demand, slots *[]slot) {
	rest := fill(j, d.Unstarted, *slots)
	if rest == 0 {
		return
	}
	places := 0
	for _, s := range *slots {
		if j.allowsKind(s.info, s.zone, s.spot) {
			places += fit(capacity(s.info), need(&j.Job))
		}
	}
	offers := c.offers(j)
	if len(offers) == 0 {
		return
	}
	// What can wait for room without being late does not need a machine.
	patience := math.Min(c.types[offers[0].t].BootS, math.Max(0, c.timeLeft(j, d))/2)
	if places > 0 && float64(rest)*d.EstimateS/float64(places) < patience {
		return
	}
	more := int(math.Ceil(float64(rest)*d.EstimateS/math.Max(patience, d.EstimateS/2))) - places
	c.rentFor(j, min(max(1, more), rest), rest, slots)
}

// timeLeft is how long a job's tasks may still wait, in seconds, and be done
// by its deadline or within its class's objective, whichever is first. Owners'
// estimates are often wrong by half.
func (c *Core) timeLeft(j *liveJob, d Demand) float64 {
	by := j.DeadlineS
	for _, o := range c.settings.Site.Objectives {
		if o.Class == j.Class && o.Kind == "finished" && (by == 0 || o.WithinS < by) {
			by = o.WithinS
		}
	}
	if by == 0 {
		return 0
	}
	return by - d.OldestS - 1.5*d.EstimateS
}

// rentFor rents the cheapest machines for n of a job's tasks, and takes the
// room they will have for up to rest of them.
func (c *Core) rentFor(j *liveJob, n, rest int, slots *[]slot) {
	offers := c.offers(j)
	if len(offers) == 0 {
		return
	}
	k := offers[0]
	info := c.types[k.t]
	per := fit(capacity(info), need(&j.Job))
	count := min((n+per-1)/per, 50)
	c.fleet.requests++
	req := protocol.RentRequest{
		Name: fmt.Sprintf("%s-%d-%d-%d", c.self, c.session, c.view.Term, c.fleet.requests),
		Type: k.t, Zone: k.zone, Spot: k.spot, Count: count,
	}
	r := &rentCall{req: req}
	c.fleet.rents[req.Name] = r
	c.rent(r)
	fresh := make([]slot, count)
	for i := range fresh {
		fresh[i] = slot{info, k.zone, k.spot, capacity(info)}
	}
	fill(j, rest, fresh)
	*slots = append(*slots, fresh...)
}

// fit is how many tasks of a size have room.
func fit(room, n resources) int {
	k := 0
	for room.covers(n) && k < 1000 {
		room = room.minus(n)
		k++
	}
	return k
}

// offers lists what may be rented for a job, the cheapest per task first.
func (c *Core) offers(j *liveJob) []kind {
	type offer struct {
		kind
		price float64
	}
	var offers []offer
	for _, t := range c.types {
		per := fit(capacity(t), need(&j.Job))
		if per == 0 {
			continue
		}
		for _, z := range t.AllowZones {
			for _, spot := range []bool{true, false} {
				k := kind{t.Name, z, spot}
				if !j.allowsKind(t, z, spot) || c.fleet.refused[k].until > c.now {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				offers = append(offers, offer{k, price / float64(per)})
			}
		}
	}
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.t, b.t), cmp.Compare(a.zone, b.zone))
	})
	kinds := make([]kind, len(offers))
	for i, o := range offers {
		kinds[i] = o.kind
	}
	return kinds
}

func (c *Core) rent(r *rentCall) {
	r.busy, r.at = true, c.now
	r.tries++
	c.log.Debug("renting", "type", r.req.Type, "zone", r.req.Zone, "spot", r.req.Spot, "count", r.req.Count, "request", r.req.Name)
	c.do(Rent{r.req})
}

func (c *Core) rented(m Rented) {
	f := &c.fleet
	r := f.rents[m.Request.Name]
	if r == nil {
		return
	}
	r.busy = false
	k := kind{m.Request.Type, m.Request.Zone, m.Request.Spot}
	switch m.Outcome {
	case OutcomeDone:
		delete(f.rents, m.Request.Name)
		for _, id := range m.Machines {
			f.coming[id] = coming{k, c.now}
		}
		c.log.Info("rented", "machines", m.Machines, "request", m.Request.Name)
		delete(f.refused, k)
		if len(m.Machines) == m.Request.Count {
			return
		}
	case OutcomeFailed, OutcomeRefused:
		delete(f.rents, m.Request.Name)
		c.log.Debug("not rented", "type", k.t, "zone", k.zone, "spot", k.spot)
	default:
		return // asked again by the same name
	}
	pause := min(max(2*f.refused[k].pause, refusedPause), refusedAtMost)
	f.refused[k] = refusal{c.after(pause), pause}
	if c.planning() {
		c.plan() // the next best kind, at once
	}
}

// planning reports whether this controller rents and returns machines.
func (c *Core) planning() bool {
	return c.acting() && len(c.types) > 0 && rendezvous(c.view, "fleet") == c.self && c.fleet.haveList && c.since(c.fleet.since) >= settleTime
}

// give takes a machine out of the room kept for classes, if they can spare it.
func give(m *machineEntry, kept []kept) bool {
	all := capacity(m.info)
	for i := range kept {
		if k := &kept[i]; k.suits(m) && k.spare < k.costs(m, all) {
			return false
		}
	}
	for i := range kept {
		if k := &kept[i]; k.suits(m) {
			k.spare -= k.costs(m, all)
		}
	}
	return true
}

// keepIdle is how long a machine is kept idle, in seconds: as long as the boot
// of another would cost.
func (c *Core) keepIdle(t protocol.TypeInfo) float64 {
	return math.Min(t.BootS, c.op.IdleReturn.Seconds())
}

// returnMachines gives back what is idle, failed, faulty or never came up. A
// machine that may hold tasks is emptied first, or its lease is over.
func (c *Core) returnMachines() {
	f := &c.fleet
	var gone []protocol.MachineID
	kept := c.keptRoom()
	for id, m := range inOrder(c.machines) {
		if f.returned[id] != 0 {
			// The cloud's word is there, only its record could not be written
			// then: owners would wait out the lease of what is long gone.
			c.dropRecord(m)
			continue
		}
		if m.told.Epoch != m.epoch || c.since(m.at) > 5*time.Second {
			continue // nothing recent is known of it
		}
		l, listed := f.listed[id]
		f.seen[id] = f.seen[id] || listed && l.State == "running"
		silent := m.told.SilentS > 2*silence(c.settings.Site.Workers.ReportS).Seconds()
		switch empty := m.told.Held == 0 && m.extra == 0; {
		case silent && (m.told.Noticed || f.seen[id] && !listed):
			// Taken, by all signs. The cloud's answer to its deletion proves
			// it, long before the worker's lease would.
			c.log.Info("deleting a silent machine that seems taken", "machine", id, "silent_s", int(m.told.SilentS))
			gone = append(gone, id)
		case empty && (m.told.Draining || m.told.Suspect):
			gone = append(gone, id)
		case empty && !m.told.Draining && m.told.IdleS > c.keepIdle(m.info) && give(m, kept):
			c.log.Info("returning an idle machine", "machine", id, "idle_s", int(m.told.IdleS))
			c.send(c.keeper(id), PeerMessage{Drain: &id})
		}
	}
	for id, l := range inOrder(f.listed) {
		if c.machines[id] != nil || f.returned[id] != 0 {
			delete(f.orphan, id)
			if c.machines[id] != nil && l.State == "failed" && f.returned[id] == 0 {
				gone = append(gone, id) // stopped by itself: nothing runs on it
			}
			continue
		}
		if f.orphan[id] == 0 {
			f.orphan[id] = c.now
		}
		age := time.Duration(l.AgeS * float64(time.Second))
		switch {
		case l.State == "failed",
			l.State == "booting" && age > c.bootLimit(l.Type),
			l.State != "booting" && c.since(f.orphan[id]) > c.leaseOver():
			c.log.Info("returning a machine that does not report", "machine", id, "state", l.State)
			gone = append(gone, id)
		}
	}
	for id := range f.orphan {
		if _, ok := f.listed[id]; !ok {
			delete(f.orphan, id)
		}
	}
	gone = slices.DeleteFunc(gone, func(id protocol.MachineID) bool {
		return f.deleting[id] != 0 && c.since(f.deleting[id]) < 8*time.Second
	})
	if len(gone) > 100 {
		gone = gone[:100]
	}
	if len(gone) > 0 {
		for _, id := range gone {
			f.deleting[id] = c.now
		}
		c.do(Delete{gone})
	}
}

// deleted: the cloud's word that machines are gone, and all on them. Their
// records go, which tells every owner.
func (c *Core) deleted(m Deleted) {
	f := &c.fleet
	for _, id := range m.Machines {
		delete(f.deleting, id)
		if !m.OK {
			continue
		}
		f.returned[id] = c.now
		delete(f.coming, id)
		c.log.Info("machine returned", "machine", id)
		if have := c.machines[id]; have != nil {
			c.dropRecord(have)
		}
	}
}

// dropRecord deletes the record of a machine that the cloud says is gone.
func (c *Core) dropRecord(m *machineEntry) {
	c.do(Commit{Tag: removeTag{m.id}, Txn: protocol.Txn{
		If:   []protocol.Condition{{Key: bookkeeping.MachineKey(m.id), Version: m.epoch}},
		Then: []protocol.Change{{Delete: bookkeeping.MachineKey(m.id)}},
	}})
}

func (c *Core) listed(m Listed) {
	f := &c.fleet
	f.listing = false
	f.listedAt = c.now
	if !m.OK {
		return
	}
	f.haveList = true
	clear(f.listed)
	for _, l := range m.Machines {
		f.listed[l.ID] = l
	}
	for id, at := range f.returned {
		if _, ok := f.listed[id]; !ok && c.since(at) > 5*time.Minute {
			delete(f.returned, id)
			delete(f.seen, id)
		}
	}
}
