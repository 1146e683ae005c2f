package forwarder

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/fake/server"
)

// NoRegion is the region of users and the services, which are in none.
const NoRegion = -1

// Link is a connection path from one region to an address.
type Link struct {
	Name   string // of the link, by which its own address is given
	Kind   string // of traffic, by which it is counted
	Target string
	// From and To are the regions at its ends.
	From, To int
	Delay    time.Duration // one way
}

const (
	// maxInFlight is how many chunks of a connection are in flight at the most.
	maxInFlight = 256
	// chunkSize is the size of a read.
	chunkSize   = 4 << 10
	dialTimeout = 3 * time.Second
	// partitionPoll is how often a delayed connection checks for the partition's end.
	partitionPoll = 20 * time.Millisecond
)

// Forwarder carries connections over links, with delays, and holds them back while a
// region at one end is partitioned.
type Forwarder struct {
	traffic   *server.Traffic
	addresses map[string]string

	mu          sync.Mutex
	partitioned []int
}

// New starts to carry links.
func New(links []Link) (*Forwarder, error) {
	f := &Forwarder{traffic: server.NewTraffic(), addresses: map[string]string{}}
	for _, link := range links {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for link %s: %w", link.Name, err)
		}
		f.addresses[link.Name] = listener.Addr().String()
		go f.accept(listener, link)
	}
	return f, nil
}

// Addresses returns the address of each link by its name.
func (f *Forwarder) Addresses() map[string]string { return f.addresses }

// Traffic returns what has passed, by kind of link.
func (f *Forwarder) Traffic() map[string]server.Flow { return f.traffic.Flows() }

// SetPartitioned sets the regions that are partitioned from all others from now on.
func (f *Forwarder) SetPartitioned(regions []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = regions
}

// isPartitioned reports whether nothing passes a link now.
func (f *Forwarder) isPartitioned(link Link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return link.From != link.To && (slices.Contains(f.partitioned, link.From) || slices.Contains(f.partitioned, link.To))
}

// wait returns once a link is not partitioned.
func (f *Forwarder) wait(link Link) {
	for f.isPartitioned(link) {
		time.Sleep(partitionPoll)
	}
}

// accept carries the connections that are made to a link.
func (f *Forwarder) accept(listener net.Listener, link Link) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			time.Sleep(partitionPoll)
			continue
		}
		go f.carry(conn, link)
	}
}

// carry connects a connection to the link's target. One that was made during a partition
// stays silent and is closed once the partition ends.
func (f *Forwarder) carry(in net.Conn, link Link) {
	if f.isPartitioned(link) {
		f.wait(link)
		_ = in.Close() // nothing was carried
		return
	}
	f.traffic.Add(link.Kind+" connections", 1, 0, 0)
	out, err := net.DialTimeout("tcp", link.Target, dialTimeout)
	if err != nil {
		_ = in.Close() // the target refused
		return
	}
	go f.pass(in, out, link, true)
	go f.pass(out, in, link, false)
}

// chunk is what was read at once, and when it arrives at the other end.
type chunk struct {
	data    []byte
	arrival time.Time
}

// pass carries one direction of a connection in order. Outbound is that to the target.
func (f *Forwarder) pass(from, to net.Conn, link Link, outbound bool) {
	chunks := make(chan chunk, maxInFlight)
	go func() {
		defer close(chunks)
		buffer := make([]byte, chunkSize)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				f.count(link, n, outbound)
				chunks <- chunk{slices.Clone(buffer[:n]), time.Now().Add(link.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range chunks {
		time.Sleep(time.Until(c.arrival))
		f.wait(link)
		if broken {
			continue // the other end is closed
		}
		if _, err := to.Write(c.data); err != nil {
			broken = true
			_ = from.Close() // later data can't be delivered
		}
	}
	f.wait(link)
	_ = to.Close() // the sending end is closed
}

// count counts what passes a link.
func (f *Forwarder) count(link Link, n int, outbound bool) {
	if outbound {
		f.traffic.Add(link.Kind, 1, 0, n)
		return
	}
	f.traffic.Add(link.Kind, 0, n, 0)
}
