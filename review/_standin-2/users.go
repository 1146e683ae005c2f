package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// pathJobs is the path of submissions; jobs are below it.
const pathJobs = "/work"

var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a user's request to a controller; status 0: no response.
func (c *cluster) request(i int, timeout time.Duration, method, path string, body []byte) (int, string, string) {
	c.w.mu.Lock()
	cut := c.nodes[i].link.usersCut
	c.w.mu.Unlock()
	if cut {
		time.Sleep(timeout)
		return 0, "", ""
	}
	status, answer, retry := call(userClient, timeout, method, "http://"+c.nodes[i].serve+path, body)
	var s struct {
		State string `cbor:"bearing"`
	}
	if status == 200 || status == 201 {
		if decode(answer, &s) != nil || s.State == "" {
			c.w.mu.Lock()
			c.w.breaks("wrong_data", "%s %s at %s: status %d with body %x", method, path, c.nodes[i].name, status, answer)
			c.w.mu.Unlock()
		}
	}
	return status, s.State, retry
}

// pick returns a controller as the load balancer would: a healthy one at random, if there is one.
func (c *cluster) pick() int {
	var healthy []int
	for i := range c.nodes {
		if c.healthy[i].Load() {
			healthy = append(healthy, i)
		}
	}
	if len(healthy) == 0 {
		return rand.IntN(len(c.nodes))
	}
	return healthy[rand.IntN(len(healthy))]
}

func (c *cluster) probe() {
	c.healthy = make([]boolFlag, len(c.nodes))
	for i := range c.nodes {
		go func() {
			for range time.Tick(time.Second) {
				c.w.mu.Lock()
				cut := c.nodes[i].link.usersCut
				c.w.mu.Unlock()
				c.healthy[i].Store(!cut && c.up(i))
			}
		}()
	}
}

// note records an answer to a user and checks it. The caller does not hold mu. sent is when the
// request was sent.
func (c *cluster) note(i int, what string, j *userJob, sent time.Time, status int, state string) {
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	id := j.spec.ID
	w.logf("%s %s at %s: %d %s", what, id, c.nodes[i].name, status, state)
	if status == 200 || status == 201 || status == 404 {
		j.lastAnswer = time.Now()
	}
	accepted := !j.acceptedAt.IsZero() && j.acceptedAt.Before(sent)
	switch {
	case what == "poll" && status == 404 && accepted:
		w.breaks("forgotten", "%s, accepted, gets 404 at %s", id, c.nodes[i].name)
	case what == "abort" && status == 404 && accepted:
		w.breaks("forgotten", "%s, accepted, gets 404 for its cancellation at %s", id, c.nodes[i].name)
	case what == "submit" && (status == 400 || status == 422) && accepted:
		w.breaks("forgotten", "%s, accepted, gets %d for its repeated submission at %s", id, status, c.nodes[i].name)
	}
	if (status == 200 || status == 201) && !j.submitted {
		w.breaks("invented", "%s, never submitted, gets %d at %s", id, status, c.nodes[i].name)
	}
	if status != 200 && status != 201 {
		if what == "submit" && (status == 400 || status == 422) {
			j.refused = true
		}
		return
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
	if state == "done" {
		if j.doneTasks < int(j.spec.Tasks) {
			w.breaks("not_done", "%s is called done at %s with %d of %d tasks done", id, c.nodes[i].name, j.doneTasks, j.spec.Tasks)
		}
		if !j.cancelledAt.IsZero() && j.cancelledAt.Before(sent) {
			w.breaks("went_back", "%s, cancelled, is called done at %s", id, c.nodes[i].name)
		}
		if j.doneAt.IsZero() {
			j.doneAt = time.Now()
		}
		return
	}
	if !j.doneAt.IsZero() && j.doneAt.Before(sent) {
		w.breaks("went_back", "%s, done, is called %s at %s", id, state, c.nodes[i].name)
	}
	if state == "aborted" {
		if j.cancelAsked.IsZero() {
			w.breaks("went_back", "%s is called cancelled at %s, though its user has not asked", id, c.nodes[i].name)
		}
		if j.cancelledAt.IsZero() {
			j.cancelledAt = time.Now()
		}
		return
	}
	if !j.cancelledAt.IsZero() && j.cancelledAt.Before(sent) {
		w.breaks("went_back", "%s, cancelled, is called %s at %s", id, state, c.nodes[i].name)
	}
}

func (c *cluster) newJob(spec jobSpec) *userJob {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	j := &userJob{spec: spec}
	c.w.jobs[spec.ID] = j
	return j
}

// submit submits a job as a user does, for up to 60 s, and reports whether it was accepted.
func (c *cluster) submit(j *userJob, stop time.Time) bool {
	body := encode(j.spec)
	for begin := time.Now(); time.Since(begin) < 60*time.Second && time.Now().Before(stop); {
		c.w.mu.Lock()
		j.submitted = true
		c.w.mu.Unlock()
		i, sent := c.pick(), time.Now()
		status, state, retry := c.request(i, 5*time.Second, "POST", pathJobs, body)
		c.note(i, "submit", j, sent, status, state)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		c.pause(retry)
	}
	return false
}

func (c *cluster) pause(retry string) {
	s, _ := strconv.Atoi(retry)
	time.Sleep(time.Duration(max(1, min(s, 30))) * time.Second)
}

func (c *cluster) poll(j *userJob) (int, string) {
	i, sent := c.pick(), time.Now()
	status, state, _ := c.request(i, 2*time.Second, "GET", pathJobs+"/"+j.spec.ID, nil)
	c.note(i, "poll", j, sent, status, state)
	return status, state
}

func (c *cluster) abort(j *userJob, stop time.Time) bool {
	c.w.mu.Lock()
	if j.cancelAsked.IsZero() {
		j.cancelAsked = time.Now()
	}
	c.w.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < 60*time.Second && time.Now().Before(stop); {
		i, sent := c.pick(), time.Now()
		status, state, retry := c.request(i, 5*time.Second, "POST", pathJobs+"/"+j.spec.ID+"/abort", nil)
		c.note(i, "abort", j, sent, status, state)
		if status == 200 {
			return true
		}
		c.pause(retry)
	}
	return false
}

// closeLook asks at all controllers at once.
func (c *cluster) closeLook(j *userJob) {
	body := encode(j.spec)
	for i := range c.nodes {
		go func() {
			sent := time.Now()
			if rand.IntN(3) == 0 {
				status, state, _ := c.request(i, 5*time.Second, "POST", pathJobs, body)
				c.note(i, "submit", j, sent, status, state)
				return
			}
			status, state, _ := c.request(i, 2*time.Second, "GET", pathJobs+"/"+j.spec.ID, nil)
			c.note(i, "poll", j, sent, status, state)
		}()
	}
}

// follow submits a job and polls it until it is over or stop; it cancels it after cancelAfter, if
// that is above 0.
func (c *cluster) follow(j *userJob, cancelAfter time.Duration, stop time.Time) {
	if !c.submit(j, stop) {
		return
	}
	if rand.IntN(3) == 0 {
		c.closeLook(j)
	}
	if cancelAfter > 0 {
		go func() {
			time.Sleep(cancelAfter)
			if c.abort(j, stop) && rand.IntN(2) == 0 {
				c.closeLook(j)
			}
		}()
	}
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(3000+rand.IntN(4000)) * time.Millisecond)
		if status, state := c.poll(j); status == 200 && (state == "done" || state == "aborted") {
			c.closeLook(j)
			return
		}
	}
}
