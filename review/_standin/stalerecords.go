package main

import (
	"fmt"
	"time"

	"damsonkeel/internal/protocol"
)

// staleRecords: while there is more work than room, and new machines come up and get work, the
// store refuses one controller alone for 10 s, so that its lease runs out, and answers the first
// watch that it asks for afterwards in half a second.
func staleRecords(b *Bench) {
	b.quickBoot = true
	b.Start(siteMachines, 60)
	b.WaitUp(20*time.Second, b.Nodes...)
	time.Sleep(3 * time.Second)
	for spell := 0; spell < 2 && b.Now() < 70*time.Second; spell++ {
		refuseWhileGrowing(b, 400+100*spell, 20)
		if broken := ranTwice(b); len(broken) > 0 {
			b.Finish(broken)
		}
	}
	b.Finish(nil)
}

// refuseWhileGrowing plays one spell, with jobs of so many tasks, numbered from number. They are called off at
// its end.
func refuseWhileGrowing(b *Bench, number int, tasks uint32) {
	victim, others := b.Nodes[0], b.Nodes[1:]
	count, up := 0, b.rentedUp()
	submit := func() {
		j := job(number+count, []string{"geraete", "firmware", "kunden", "labor"}[count%4], tasks, 1, 300)
		j.Class, j.DeadlineS = "flashround", 640
		count++
		b.Submit(j, others...)
	}
	for b.rentedUp() == up && count < 20 { // until the first rented machine is up
		submit()
		time.Sleep(time.Second)
	}
	spell := b.refuse(victim)
	began := time.Now()
	for range 5 {
		submit()
		submit()
		time.Sleep(2 * time.Second)
	}
	time.Sleep(time.Until(began.Add(refusedFor)))
	spell.end()
	b.WaitUp(20*time.Second, b.Nodes...)
	for range 20 {
		if time.Sleep(time.Second); len(ranTwice(b)) > 0 {
			return
		}
	}
	for i := range count {
		go b.Cancel(protocol.JobID(fmt.Sprintf("job-%06d", number+i)), others...)
	}
	time.Sleep(time.Second)
}

// ranTwice lists the tasks that started on one machine while they were on another.
func ranTwice(b *Bench) (broken []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, r := range b.Runs {
		for _, before := range b.Runs[:i] {
			if before.Task == r.Task && before.Machine != r.Machine && (before.End == 0 || before.End > r.Start) {
				broken = append(broken, fmt.Sprintf("ran_twice: %v starts on %s (attempt %d) at %.3f s, while it is on %s (attempt %d) from %.3f to %.3f s",
					r.Task, r.Machine, r.Attempt, r.Start.Seconds(), before.Machine, before.Attempt, before.Start.Seconds(), before.End.Seconds()))
			}
		}
	}
	return broken
}

// rentedUp returns how many rented machines have come up.
func (b *Bench) rentedUp() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.zones) - len(siteMachines)
}
