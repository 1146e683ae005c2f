package forwarder

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"damsonkeel/internal/fake/server"
)

// NoRegion stands for the location of users and services, which do not belong to a region.
const NoRegion = -1

// Link is a path for connections from one region to a target address.
type Link struct {
	Name   string // key of the link's own address in Forwarder.Addresses
	Kind   string // kind of traffic, by which the traffic is counted
	Target string // address to which connections are forwarded
	// From and To are the regions at the ends of the link, or NoRegion.
	From, To int
	Delay    time.Duration // one-way latency
}

const (
	// maxInFlight is the largest number of delayed chunks in one direction of a connection.
	maxInFlight = 256
	// chunkSize is the largest number of bytes in a chunk.
	chunkSize   = 4 << 10
	dialTimeout = 3 * time.Second
	// partitionPoll is the interval at which a blocked connection checks whether the partition
	// has ended, and the pause after a failed accept.
	partitionPoll = 20 * time.Millisecond
)

// Forwarder forwards connections over links with the delay of each link, and blocks them while a
// region at one end is partitioned.
type Forwarder struct {
	traffic   *server.Traffic
	addresses map[string]string

	mu          sync.Mutex
	partitioned []int
}

// New returns a forwarder that listens for connections to each link, on a loopback address with a
// port of its own, until the process ends.
func New(links []Link) (*Forwarder, error) {
	f := &Forwarder{traffic: server.NewTraffic(), addresses: map[string]string{}}
	for _, link := range links {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for link %s: %w", link.Name, err)
		}
		f.addresses[link.Name] = listener.Addr().String()
		go f.acceptConnections(listener, link)
	}
	return f, nil
}

// Addresses returns the address of each link by its name.
func (f *Forwarder) Addresses() map[string]string { return f.addresses }

// Traffic returns the forwarded traffic by kind of link. The connections of a link have a kind of
// their own.
func (f *Forwarder) Traffic() map[string]server.Flow { return f.traffic.Flows() }

// SetPartitioned replaces the list of regions that are partitioned from all others.
func (f *Forwarder) SetPartitioned(regions []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = regions
}

// isPartitioned reports whether a partition blocks a link, that is, whether its ends differ and one of
// them is a partitioned region.
func (f *Forwarder) isPartitioned(link Link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return link.From != link.To && (slices.Contains(f.partitioned, link.From) || slices.Contains(f.partitioned, link.To))
}

// waitWhilePartitioned blocks until no partition blocks a link.
func (f *Forwarder) waitWhilePartitioned(link Link) {
	for f.isPartitioned(link) {
		time.Sleep(partitionPoll)
	}
}

// acceptConnections accepts and forwards the connections to a link.
func (f *Forwarder) acceptConnections(listener net.Listener, link Link) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			time.Sleep(partitionPoll)
			continue
		}
		go f.forwardConnection(conn, link)
	}
}

// forwardConnection connects an accepted connection to the target of its link. A connection that
// was accepted during a partition transfers nothing and is closed when the partition ends.
func (f *Forwarder) forwardConnection(in net.Conn, link Link) {
	if f.isPartitioned(link) {
		f.waitWhilePartitioned(link)
		_ = in.Close() // nothing was forwarded
		return
	}
	f.traffic.Add(link.Kind+" connections", 1, 0, 0)
	out, err := net.DialTimeout("tcp", link.Target, dialTimeout)
	if err != nil {
		_ = in.Close() // the target is not reachable
		return
	}
	go f.forwardDirection(in, out, link, true)
	go f.forwardDirection(out, in, link, false)
}

// chunk is the data of one read, with the time at which it arrives at the other end.
type chunk struct {
	data    []byte
	arrival time.Time
}

// forwardDirection forwards one direction of a connection in order. The direction towards the
// target is outbound.
func (f *Forwarder) forwardDirection(from, to net.Conn, link Link, outbound bool) {
	chunks := make(chan chunk, maxInFlight)
	go func() {
		defer close(chunks)
		buffer := make([]byte, chunkSize)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				f.countTraffic(link, n, outbound)
				chunks <- chunk{slices.Clone(buffer[:n]), time.Now().Add(link.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	writeFailed := false
	for c := range chunks {
		time.Sleep(time.Until(c.arrival))
		f.waitWhilePartitioned(link)
		if writeFailed {
			continue // drain the channel: the other end is closed
		}
		if _, err := to.Write(c.data); err != nil {
			writeFailed = true
			_ = from.Close() // further data can't be delivered
		}
	}
	f.waitWhilePartitioned(link)
	_ = to.Close() // the sending end is closed
}

// countTraffic counts the bytes of one read on a link; an outbound read also counts as a message.
func (f *Forwarder) countTraffic(link Link, bytes int, outbound bool) {
	if outbound {
		f.traffic.Add(link.Kind, 1, 0, bytes)
		return
	}
	f.traffic.Add(link.Kind, 0, bytes, 0)
}
