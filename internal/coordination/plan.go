package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"damsonkeel/internal/coordination/room"
	"damsonkeel/internal/protocol"
)

// slots are machines that are up, or coming, and alike in what a plan asks of
// them. A fleet has far fewer of them than machines: those of a kind run the same
// classes of tasks.
type slot struct {
	alike
	info protocol.TypeInfo
	n    int // machines
}

// alike is what machines of a slot have in common.
type alike struct {
	kind
	free room.Amount // now, or when they are up
	held room.Uses   // by attempts on each or in its queue
	inS  float64     // when they are up, in seconds
}

// slots lists all room that is there or coming.
func (c *Core) slots() []slot {
	f := &c.fleet
	var slots []slot
	at := map[alike]int{}
	for _, m := range c.machinesInOrder() {
		if !c.usable(m) {
			continue
		}
		a := alike{kind: m.kind(), free: m.free(), held: m.held}
		for r := range a.held {
			a.held[r] = a.held[r].Plus(m.taken[r])
		}
		i, there := at[a]
		if !there {
			i = len(slots)
			at[a] = i
			slots = append(slots, slot{alike: a, info: m.info})
		}
		slots[i].n++
	}
	for _, m := range inOrder(f.coming) {
		info := c.types[m.t]
		boot := math.Max(info.BootS-c.since(m.at).Seconds(), 1)
		slots = append(slots, slot{alike: alike{kind: m.kind, free: room.Capacity(info), inS: boot}, info: info, n: 1})
	}
	for _, r := range inOrder(f.rents) {
		slots = append(slots, c.fresh(kind{r.req.Type, r.req.Zone, r.req.Spot}, r.req.Count))
	}
	return slots
}

// fresh is the room of machines just asked for.
func (c *Core) fresh(k kind, count int) slot {
	info := c.types[k.t]
	return slot{alike: alike{kind: k, free: room.Capacity(info), inS: info.BootS}, info: info, n: count}
}

// plan rents what the unstarted work needs beyond what is there or coming.
func (c *Core) plan() {
	p := planning{c: c, slots: c.slots(), pools: map[kind]*pool{}, want: map[kind]int{}, underWay: map[kind]int{}}
	for _, r := range c.fleet.rents {
		p.underWay[kind{r.req.Type, r.req.Zone, r.req.Spot}] += r.req.Count
	}
	defer p.rentWanted()
	var demand, rest []Demand
	for _, p := range c.peers {
		demand = append(demand, p.demand...)
	}
	slices.SortFunc(demand, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.OldestS, a.OldestS), cmp.Compare(a.Job, b.Job))
	})
	// Classes with room kept for them come first, then the room itself: the
	// rest must not count on it.
	for _, d := range demand {
		switch j := c.wants(d); {
		case j == nil:
		case c.awaited(&j.Job):
			p.house(j, room.Level(d.Level), d.Unstarted)
		default:
			rest = append(rest, d)
		}
	}
	for _, k := range inOrder(c.classes) {
		j := &liveJob{Job: k.job}
		j.OneZone = false // it is kept for several jobs
		p.house(j, room.LevelOf(j.Priority, false), c.reserve(k))
	}
	// What is left works off the rest, the most pressing first. Each job finds
	// what those before it leave of the time until it has to be done.
	slices.SortStableFunc(rest, func(a, b Demand) int {
		ja, jb := c.live[a.Job], c.live[b.Job]
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(c.timeLeft(ja, a), c.timeLeft(jb, b)))
	})
	p.gather(rest)
	for _, d := range rest {
		j := c.wants(d)
		p.workOff(j, d, c.timeLeft(j, d))
	}
	// What is likely to come until another machine is up has to be begun by
	// then: else each burst would wait for the boots that the last one needed.
	for _, k := range inOrder(c.classes) {
		if work := c.comingWork(k); work > 0 {
			d := Demand{EstimateS: c.estimate(&k.job)}
			d.Unstarted = int(work / (d.EstimateS * math.Max(k.job.CPUs, room.Slack)))
			p.workOff(&liveJob{Job: k.job}, d, c.upS(&k.job))
		}
	}
}

// wants is the job of a demand, with the zone that is left to it.
func (c *Core) wants(d Demand) *liveJob {
	j := c.live[d.Job]
	if j == nil || d.Zone == "" {
		return j
	}
	in := *j
	in.Zone = d.Zone
	return &in
}

// planning is the state of one plan.
type planning struct {
	c              *Core
	slots          []slot
	pools          map[kind]*pool
	want, underWay map[kind]int // machines to be asked for, or asked for already
}

// pool is the machines of one kind, as far as they work off what need not
// start at once.
type pool struct {
	info   protocol.TypeInfo
	room   room.Amount // of all together
	aheadS float64     // processor seconds that they have to do before
}

// fill takes room for n tasks of a job out of the slots, as far as there is,
// and returns how many are left without.
func (p *planning) fill(j *liveJob, l room.Level, n int) int {
	size, shun := room.Need(&j.Job), p.c.risky(&j.Job)
	for i := 0; i < len(p.slots) && n > 0; i++ {
		s := &p.slots[i]
		if s.n == 0 || shun && s.spot || !j.allowsKind(s.info, s.zone, s.spot) {
			continue
		}
		per := s.free.Fit(size)
		if per == 0 {
			continue
		}
		// Whole machines first, then what is left on one more.
		full := min(s.n, n/per)
		part := 0
		if full < s.n {
			part = min(n-full*per, per)
		}
		was := *s
		if s.n = was.n - full; part > 0 {
			s.n--
		}
		if full > 0 {
			p.slots = append(p.slots, was.after(l, size, per, full))
		}
		if part > 0 {
			p.slots = append(p.slots, was.after(l, size, part, 1))
		}
		n -= full*per + part
	}
	return n
}

// after is so many of a slot's machines once each has taken some tasks.
func (s slot) after(l room.Level, size room.Amount, tasks, machines int) slot {
	for range tasks {
		s.free = s.free.Minus(size)
		s.held.Add(l, size)
	}
	s.n = machines
	return s
}

// house takes room for n tasks of a job and rents what is missing.
func (p *planning) house(j *liveJob, l room.Level, n int) {
	if n > 0 && j.OneZone && j.Zone == "" {
		in := *j // as if its user had named the zone
		in.Zone = p.zoneFor(j, n)
		j = &in
	}
	if n = p.fill(j, l, n); n <= 0 {
		return
	}
	for _, k := range p.c.offers(j) {
		per := room.Capacity(p.c.types[k.t]).Fit(room.Need(&j.Job))
		if count := p.ask(k, (n+per-1)/per); count > 0 {
			p.slots = append(p.slots, p.c.fresh(k, count))
			n = p.fill(j, l, n)
		}
		if n <= 0 {
			return
		}
	}
}

// zoneFor is the zone that lacks least to hold n tasks of a job, of those that
// lack nothing or still have machines to rent.
func (p *planning) zoneFor(j *liveJob, n int) protocol.Zone {
	has, offered := map[protocol.Zone]int{}, map[protocol.Zone]bool{}
	size, shun := room.Need(&j.Job), p.c.risky(&j.Job)
	for i := range p.slots {
		if s := &p.slots[i]; !(shun && s.spot) && j.allowsKind(s.info, s.zone, s.spot) {
			has[s.zone] += s.n * s.free.Fit(size)
		}
	}
	for _, k := range p.c.offers(j) {
		offered[k.zone] = true
		has[k.zone] += 0
	}
	var best protocol.Zone
	for z, there := range inOrder(has) {
		if there < n && !offered[z] {
			continue
		}
		if best == "" || min(there, n) > min(has[best], n) {
			best = z
		}
	}
	return best
}

// rentAtMost is how many machines are asked for in one request.
const rentAtMost = 50

// ask takes note of machines to be rented, and returns how many of them the
// plan may count on: no more of a kind at a time than one request, whose answer
// tells whether there are more.
func (p *planning) ask(k kind, count int) int {
	count = max(0, min(count, rentAtMost-p.want[k]-p.underWay[k]))
	if count > 0 {
		p.want[k] += count
	}
	return count
}

// rentWanted sends the plan's requests, as many at a time as the cloud answers
// in a second; the next plan asks for the rest.
func (p *planning) rentWanted() {
	c := p.c
	for _, k := range inPriceOrder(c, p.want) {
		if float64(len(c.fleet.rents)) >= math.Max(1, c.settings.Site.Cloud.RPS) {
			return
		}
		c.fleet.requests++
		req := protocol.RentRequest{
			Name: fmt.Sprintf("%s-%d-%d-%d", c.self, c.session, c.view.Term, c.fleet.requests),
			Type: k.t, Zone: k.zone, Spot: k.spot, Count: p.want[k],
		}
		r := &rentCall{req: req}
		c.fleet.rents[req.Name] = r
		c.rent(r)
	}
}

// gather pools what the slots have left for the rest of the work, and what of
// it runs already: half of its time, on average, is still to come.
func (p *planning) gather(rest []Demand) {
	top, runS, weight := 0, 0.0, 0.0
	for _, d := range rest {
		top = max(top, p.c.live[d.Job].Priority.Rank())
		runS += d.EstimateS * float64(d.Unstarted)
		weight += float64(d.Unstarted)
	}
	if weight > 0 {
		runS /= weight
	}
	for _, s := range p.slots {
		k := p.pool(s.kind)
		left, n := room.Capacity(s.info).Minus(s.held.Above(top)), float64(s.n)
		if left.CPUs <= room.Slack || s.n == 0 {
			continue
		}
		k.room = k.room.Plus(left.Times(n))
		k.aheadS += n * left.CPUs * s.inS
		if s.inS == 0 {
			k.aheadS += n * math.Max(0, left.CPUs-math.Max(0, s.free.CPUs)) * runS / 2
		}
	}
}

// workOff has the pools begin a job's tasks in the time that is left, in
// seconds, and rents machines for those that they can't.
func (p *planning) workOff(j *liveJob, d Demand, left float64) {
	n, size := float64(d.Unstarted), room.Need(&j.Job)
	offers := p.c.offers(j)
	upS := func(k kind) float64 { return p.c.types[k.t].BootS + fetchS(p.c.types[k.t], &j.Job) }
	if len(offers) > 0 {
		// A machine rented now brings nothing for what begins before it is up.
		left = math.Max(left, upS(offers[0]))
	}
	for _, k := range inPriceOrder(p.c, p.pools) {
		l := p.pools[k]
		if !j.allowsKind(l.info, k.zone, k.spot) {
			continue
		}
		n -= l.take(n, size, d.EstimateS, left)
	}
	for _, k := range offers {
		per := room.Capacity(p.c.types[k.t]).Fit(size)
		rounds := math.Max(0, left-upS(k))/d.EstimateS + 1
		if n < 0.5 {
			return
		}
		count := p.ask(k, int(math.Ceil(n/(float64(per)*rounds))))
		l := p.pool(k)
		for range count {
			l.room = l.room.Plus(room.Capacity(l.info))
		}
		l.aheadS += float64(count) * l.info.CPUs * upS(k)
		n -= l.take(n, size, d.EstimateS, left)
	}
}

func (p *planning) pool(k kind) *pool {
	l := p.pools[k]
	if l == nil {
		l = &pool{info: p.c.types[k.t]}
		p.pools[k] = l
	}
	return l
}

// take has a pool do as many of n tasks as it can begin before they are late.
func (l *pool) take(n float64, size room.Amount, estimateS, left float64) float64 {
	places := l.room.Places(size)
	if places < 1 {
		return 0
	}
	can := math.Max(0, left+estimateS-l.aheadS/math.Max(l.room.CPUs, room.Slack)) / estimateS * places
	done := math.Min(n, can)
	l.aheadS += done * estimateS * l.room.CPUs / places // a task without processors takes its part of the room, too
	return done
}

// inPriceOrder lists kinds in one order, the cheapest first.
func inPriceOrder[V any](c *Core, kinds map[kind]V) []kind {
	ks := slices.Collect(maps.Keys(kinds))
	slices.SortFunc(ks, func(a, b kind) int {
		return cmp.Or(cmp.Compare(c.price(a), c.price(b)), cmp.Compare(a.t, b.t), cmp.Compare(a.zone, b.zone))
	})
	return ks
}

// price of a kind, for a processor and an hour.
func (c *Core) price(k kind) float64 {
	t := c.types[k.t]
	if k.spot {
		return t.SpotPrice / math.Max(t.CPUs, 1)
	}
	return t.Price / math.Max(t.CPUs, 1)
}

// timeLeft is how long a job's tasks may still wait, in seconds, and be done
// when it is due. Owners' estimates are often wrong by half. What nobody sets
// a time for waits no longer than a machine takes to come.
func (c *Core) timeLeft(j *liveJob, d Demand) float64 {
	if len(c.dueTimes(&j.Job)) == 0 {
		return 0
	}
	return math.Max(0, time.Duration(j.due-c.now).Seconds()-1.5*d.EstimateS)
}

// offers lists what may be rented for a job, the cheapest per task first.
func (c *Core) offers(j *liveJob) []kind {
	type offer struct {
		kind
		price float64
	}
	var offers []offer
	stretch, shun := c.spotStretch(&j.Job)*float64(j.Tasks), c.risky(&j.Job)
	for _, t := range c.types {
		per := room.Capacity(t).Fit(room.Need(&j.Job))
		if per == 0 {
			continue
		}
		for _, z := range t.AllowZones {
			for _, spot := range []bool{true, false} {
				k := kind{t.Name, z, spot}
				if !j.allowsKind(t, z, spot) || spot && shun || c.fleet.refused[k].until > c.now {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * (1 + stretch)
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
