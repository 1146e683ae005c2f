package main

import (
	"fmt"
	"sync"
	"time"

	"damsonkeel/internal/config"
	"damsonkeel/internal/protocol"
)

// siteMachines are the machines that are up at the start of brandli-prueflabor.
var siteMachines = []protocol.ProvisionRequest{
	{Name: "s0", Type: "tischbox", Zone: "raumost", Count: 1}, {Name: "s1", Type: "tischbox", Zone: "raumwest", Count: 1},
	{Name: "s2", Type: "tischbox", Zone: "keller", Count: 1}, {Name: "s3", Type: "tischbox", Zone: "dachraum", Count: 1},
	{Name: "s4", Type: "rackturm", Zone: "raumwest", Count: 1}, {Name: "s5", Type: "rackturm", Zone: "keller", Count: 1},
	{Name: "s6", Type: "rackturm", Zone: "dachraum", Count: 1},
}

const (
	// refusedFor is how long the store refuses one controller alone: longer than the
	// controller's lease of 8 s, and far below the 40 to 60 s of the sites.
	refusedFor = 10 * time.Second
	// slowAnswer is how long the first watch takes afterwards: "occasionally a few hundred"
	// milliseconds.
	slowAnswer = 500 * time.Millisecond
	// spells is how often that happens in the run.
	spells = 3
)

func job(number int, team string, tasks uint32, cpus, runS float64) protocol.Job {
	return protocol.Job{
		ID: protocol.JobID(fmt.Sprintf("job-%06d", number)), Class: "kleinkram", Team: protocol.Team(team), Kind: protocol.KindJobArray, Priority: "standard",
		Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "img-01", ImageGB: 0.2, Spot: true, EstimateS: runS,
	}
}

// staleWatch: the store refuses one controller alone for 10 s, so that its lease runs out, and
// answers the first watch that it asks for afterwards in half a second. Meanwhile users submit
// jobs through the other controllers, and call them off when the spell is over.
func staleWatch(b *Bench) {
	b.Start(siteMachines, 7)
	b.WaitUp(20*time.Second, b.Nodes...)
	time.Sleep(3 * time.Second)
	told := map[protocol.JobID]time.Duration{}
	for spell := range spells {
		refuseOnce(b, 400+100*spell, told)
	}
	limit := config.Seconds(b.Site.Workers.CancelS)
	time.Sleep(limit + 8*time.Second)
	b.Finish(ranCancelled(b, told))
}

// refusal is one spell in which the store refuses a controller alone.
type refusal struct {
	b        *Bench
	victim   *Node
	over     chan struct{} // closed when the controller is served again
	mu       sync.Mutex
	ending   bool
	ended    bool
	extended time.Time // when the controller last asked to extend its lease
}

// refuse begins a spell. With TROUBLE=0 the controller is served all the time.
func (b *Bench) refuse(victim *Node) *refusal {
	r := &refusal{b: b, victim: victim, over: make(chan struct{}), extended: time.Now()}
	victim.State.OnRequest(r.onRequest)
	if b.Trouble {
		b.Logf("the store refuses %s", victim.Name)
		victim.State.Refuse(true)
	}
	return r
}

// onRequest ends the spell, once it is to end, with a watch that is asked for at least 100 ms after
// the last extension, so that the next extension doesn't come before it. That watch is answered
// after slowAnswer.
func (r *refusal) onRequest(kind string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == "extend" {
		r.extended = time.Now()
	}
	if !r.ending || r.ended || kind != "watch" || time.Since(r.extended) < 100*time.Millisecond {
		return 0
	}
	r.ended = true
	r.victim.State.Refuse(false)
	r.b.Logf("the store serves %s, and answers its watch after %v", r.victim.Name, slowAnswer)
	close(r.over)
	return slowAnswer
}

// end ends the spell, and returns when the controller is served again.
func (r *refusal) end() {
	r.mu.Lock()
	r.ending = true
	r.mu.Unlock()
	select {
	case <-r.over:
	case <-time.After(10 * time.Second): // no watch is asked for: nothing to see
		r.victim.State.Refuse(false)
	}
}

// refuseOnce plays one spell, with jobs numbered from number, and adds to told when the users were
// told of the cancellations.
func refuseOnce(b *Bench, number int, told map[protocol.JobID]time.Duration) {
	victim, others := b.Nodes[0], b.Nodes[1:]
	spell := b.refuse(victim)
	began := time.Now()
	teams := []string{"hochschule", "geraete", "firmware", "hochschule", "kunden", "labor", "hochschule", "hochschule"}
	var jobs []protocol.JobID
	for i := range 16 {
		if j := job(number+i, teams[i%len(teams)], 1, 1, 300); b.Submit(j, others...) {
			jobs = append(jobs, j.ID)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(refusedFor)))
	spell.end()
	time.Sleep(50 * time.Millisecond)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, id := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if state := b.Cancel(id, others[i%2], others[(i+1)%2]); state == protocol.JobCancelled {
				mu.Lock()
				told[id] = b.Now()
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	b.WaitUp(20*time.Second, b.Nodes...)
	time.Sleep(2 * time.Second)
}

// ranCancelled lists the tasks that were on a machine more than cancel_s after the users were told
// that their jobs are cancelled.
func ranCancelled(b *Bench, told map[protocol.JobID]time.Duration) (broken []string) {
	limit := config.Seconds(b.Site.Workers.CancelS)
	for id, at := range told {
		for _, r := range b.RunsOf(id) {
			end := r.End
			if end == 0 {
				end = b.Now()
			}
			if end > at+limit {
				broken = append(broken, fmt.Sprintf("ran_cancelled: %v, attempt %d, started on %s %.1f s after its user was told that the job is cancelled, and was there until %.1f s after that (cancel_s is %.0f)",
					r.Task, r.Attempt, r.Machine, (r.Start-at).Seconds(), (end-at).Seconds(), limit.Seconds()))
			}
		}
	}
	return broken
}
