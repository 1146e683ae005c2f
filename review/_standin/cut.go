package main

import (
	"fmt"
	"time"

	"damsonkeel/internal/protocol"
)

// inFlight is how long a start command that was sent before the confirmation may take: on
// loopback it takes milliseconds. Starts up to then are not counted.
const inFlight = time.Second

// cutOff: one controller is cut from the store and from the other controllers, not from its workers and users. A
// second later a user cancels a job, of which tasks wait for machines of that controller, through another one.
func cutOff(b *Bench) {
	b.ProxyPeers = true
	b.Start(siteMachines, 7)
	b.WaitUp(20*time.Second, b.Nodes...)
	time.Sleep(8 * time.Second)
	told := map[protocol.JobID]time.Duration{}
	for round, victim := range b.Nodes {
		others := []*Node{b.Nodes[(round+1)%3], b.Nodes[(round+2)%3]}
		for i := range 5 { // 80 tasks of 4 to 8 s fill the machines
			b.Submit(job(500+10*round+i, "hochschule", 16, 1, float64(4+i)), others[0])
		}
		time.Sleep(time.Second)
		waiting := job(505+10*round, "hochschule", 80, 1, 60)
		b.Submit(waiting, others[0])
		time.Sleep(time.Second)
		if b.Trouble {
			b.Cut(victim, "hold")
		}
		time.Sleep(time.Second)
		if b.Cancel(waiting.ID, others...) == protocol.JobCancelled {
			told[waiting.ID] = b.Now()
		}
		time.Sleep(10 * time.Second)
		if b.Trouble {
			b.Cut(victim, "")
		}
		b.WaitUp(30*time.Second, b.Nodes...)
		time.Sleep(4 * time.Second)
	}
	var broken []string
	for id, at := range told {
		for _, r := range b.Accepts(id) {
			if r.Start > at+inFlight {
				broken = append(broken, fmt.Sprintf("ran_cancelled: the start of %v was sent to %s %.3f s after its user was told that the job is cancelled", r.Task, r.Machine, (r.Start-at).Seconds()))
			}
		}
	}
	b.Finish(broken)
}
