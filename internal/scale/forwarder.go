package scale

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"damsonkeel/internal/fake/server"
)

// nowhere is the region of what belongs to none: users and the services.
const nowhere = -1

// Link is a way from one region to an address, with its delay.
type Link struct {
	Name   string // by which its own address is told
	Kind   string // of what passes, for the count
	Target string
	// From and To are the regions at its ends; nowhere: none.
	From, To int
	Delay    time.Duration // one way
}

const (
	// linkQueue is how many pieces of a connection are under way at the most.
	linkQueue     = 256
	linkPiece     = 4 << 10
	linkDialWait  = 3 * time.Second
	linkGatePause = 20 * time.Millisecond
)

// forwarder carries connections over links, with delays, and holds them back while
// a region at one end is apart.
type forwarder struct {
	traffic   *server.Traffic
	addresses map[string]string

	mu    sync.Mutex
	apart []int
}

// newForwarder begins to carry links.
func newForwarder(links []Link) (*forwarder, error) {
	f := &forwarder{traffic: server.NewTraffic(), addresses: map[string]string{}}
	for _, link := range links {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		f.addresses[link.Name] = l.Addr().String()
		go f.accept(l, link)
	}
	return f, nil
}

// setApart names the regions that are cut off from now on.
func (f *forwarder) setApart(regions []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apart = regions
}

// isCut reports whether nothing passes a link now.
func (f *forwarder) isCut(link Link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return link.From != link.To && (slices.Contains(f.apart, link.From) || slices.Contains(f.apart, link.To))
}

// wait returns once a link is not cut.
func (f *forwarder) wait(link Link) {
	for f.isCut(link) {
		time.Sleep(linkGatePause)
	}
}

func (f *forwarder) accept(l net.Listener, link Link) {
	for {
		c, err := l.Accept()
		if err != nil {
			time.Sleep(linkGatePause)
			continue
		}
		go f.carry(c, link)
	}
}

// carry passes a connection on. One that was tried while the link was cut never
// completes: it stays silent, and is closed when the cut is over.
func (f *forwarder) carry(in net.Conn, link Link) {
	if f.isCut(link) {
		f.wait(link)
		_ = in.Close() // nothing was ever passed on
		return
	}
	f.traffic.Add(link.Kind+" connections", 1, 0, 0)
	out, err := net.DialTimeout("tcp", link.Target, linkDialWait)
	if err != nil {
		_ = in.Close() // as the target refused
		return
	}
	go f.pass(in, out, link, true)
	go f.pass(out, in, link, false)
}

// piece is what was read at once, and when it is due at the other end.
type piece struct {
	data []byte
	due  time.Time
}

// pass carries one direction of a connection, in order.
func (f *forwarder) pass(from, to net.Conn, link Link, forth bool) {
	pieces := make(chan piece, linkQueue)
	go func() {
		defer close(pieces)
		buffer := make([]byte, linkPiece)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				f.count(link, n, forth)
				pieces <- piece{slices.Clone(buffer[:n]), time.Now().Add(link.Delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		f.wait(link)
		if broken {
			continue // nobody is there any more
		}
		if _, err := to.Write(p.data); err != nil {
			broken = true
			_ = from.Close() // what is read from now on is lost
		}
	}
	f.wait(link)
	_ = to.Close() // as the other end was closed
}

// count counts what passes a link: out is what goes to its target.
func (f *forwarder) count(link Link, n int, forth bool) {
	if forth {
		f.traffic.Add(link.Kind, 1, 0, n)
		return
	}
	f.traffic.Add(link.Kind, 0, n, 0)
}

// linkName names the link from a region to something.
func linkName(region int, target string) string { return strconv.Itoa(region) + "/" + target }

// command cuts regions off.
func (f *forwarder) command(c RoleCommand) {
	if !c.Finish {
		f.setApart(c.Apart)
	}
}

// report is what has passed.
func (f *forwarder) report() RoleReport { return RoleReport{Traffic: f.traffic.Flows()} }
