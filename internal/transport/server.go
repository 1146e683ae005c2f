package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// Timeouts of connections that do nothing.
const (
	idleTimeout    = 3 * time.Minute
	partialTimeout = 15 * time.Second
	sweepEvery     = time.Second
)

// Reply answers a request, once, from any goroutine.
type Reply func(*Message)

// Handler takes a request on the event loop. It must not block; the reply may
// come later.
type Handler func(*Message, Reply)

// Server answers HTTP requests from one evio loop.
type Server struct {
	handler  Handler
	maxConns int
	log      *slog.Logger

	// touched only on the loop
	conns map[*serverConn]struct{}
}

// serverConn is one connection. The loop owns it all but what mu guards.
type serverConn struct {
	conn    evio.Conn
	parser  *Parser
	busy    bool // a request is being answered
	last    time.Time
	closing bool

	mu     sync.Mutex
	inData bool // the loop is inside serve and will pick the answer up itself
	answer *Message
}

// NewServer makes a server that holds at most maxConns connections.
func NewServer(handler Handler, maxConns int, log *slog.Logger) *Server {
	return &Server{handler: handler, maxConns: maxConns, log: log, conns: map[*serverConn]struct{}{}}
}

// Serve listens until ready's loop ends; it only returns with an error.
func (s *Server) Serve(addr string, ready func()) error {
	var events evio.Events
	events.NumLoops = 1
	events.Serving = func(evio.Server) evio.Action {
		ready()
		return evio.None
	}
	events.Opened = s.opened
	events.Closed = s.closed
	events.Data = s.data
	events.Tick = s.sweep
	if err := evio.Serve(events, "tcp://"+addr); err != nil {
		return fmt.Errorf("serve %s: %w", addr, err)
	}
	return errors.New("serve " + addr + ": the event loop ended")
}

func (s *Server) opened(c evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	sc := &serverConn{conn: c, parser: NewRequestParser(), last: time.Now()}
	c.SetContext(sc)
	s.conns[sc] = struct{}{}
	opts.ReuseInputBuffer = true
	// The loop ends when accepting fails for want of sockets, so the number
	// is kept below the limit: the connection that did nothing longest goes.
	if len(s.conns) > s.maxConns && !s.evictIdle(sc) {
		return nil, opts, evio.Close
	}
	return nil, opts, evio.None
}

func (s *Server) evictIdle(but *serverConn) bool {
	var oldest *serverConn
	for sc := range s.conns {
		if sc != but && !sc.busy && !sc.closing && (oldest == nil || sc.last.Before(oldest.last)) {
			oldest = sc
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closing = true
	oldest.conn.Wake()
	return true
}

func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	if sc, ok := c.Context().(*serverConn); ok {
		delete(s.conns, sc)
	}
	return evio.None
}

// data is called with what was read, or with nothing after a wake.
func (s *Server) data(c evio.Conn, in []byte) ([]byte, evio.Action) {
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return nil, evio.Close
	}
	if sc.closing && !sc.busy {
		return nil, evio.Close
	}
	if len(in) > 0 {
		sc.last = time.Now()
		sc.parser.Feed(in)
		if sc.busy && sc.parser.Buffered() > MaxHead+MaxRequestBody {
			return nil, evio.Close // nobody may send so much before an answer
		}
	}
	var out []byte
	for {
		if sc.busy {
			sc.mu.Lock()
			m := sc.answer
			sc.answer = nil
			sc.inData = false
			sc.mu.Unlock()
			if m == nil {
				return out, evio.None
			}
			sc.busy = false
			sc.last = time.Now()
			sc.closing = sc.closing || m.Close
			out = AppendResponse(out, m)
			if sc.closing {
				return out, evio.Close
			}
		}
		req, err := sc.parser.Next()
		if err != nil {
			status := 400
			var se *StatusError
			if errors.As(err, &se) {
				status = se.Status
			}
			s.log.Debug("malformed request", "from", sc.conn.RemoteAddr(), "err", err)
			sc.closing = true
			return AppendResponse(out, &Message{Status: status, Close: true}), evio.Close
		}
		if req == nil {
			return out, evio.None
		}
		sc.busy = true
		sc.inData = true
		sc.closing = req.Close
		s.handler(req, s.replier(sc, req.Close))
	}
}

func (s *Server) replier(sc *serverConn, closing bool) Reply {
	var once sync.Once
	return func(m *Message) {
		once.Do(func() {
			m.Close = m.Close || closing
			sc.mu.Lock()
			sc.answer = m
			wake := !sc.inData
			sc.mu.Unlock()
			if wake {
				sc.conn.Wake()
			}
		})
	}
}

// sweep closes connections that hang half-way through a request or do nothing.
func (s *Server) sweep() (time.Duration, evio.Action) {
	now := time.Now()
	for sc := range s.conns {
		if sc.busy || sc.closing {
			continue
		}
		idle := now.Sub(sc.last)
		if idle > idleTimeout || (idle > partialTimeout && sc.parser.Partial()) {
			sc.closing = true
			sc.conn.Wake()
		}
	}
	return sweepEvery, evio.None
}
