package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

const (
	// idleTimeout closes connections without a request.
	idleTimeout = 3 * time.Minute
	// partialTimeout closes connections with an incomplete request.
	partialTimeout = 15 * time.Second
	// sweepInterval is how often the timeouts are checked.
	sweepInterval = time.Second
	// maxPipelined is how many bytes may be buffered while a request is processed.
	maxPipelined = MaxHead + MaxRequestBody
)

var errLoopEnded = errors.New("the event loop ended")

// Reply sends the response to a request. It may be called from any goroutine; only the
// first call has an effect.
type Reply func(*Message)

// Handler processes a request on the event loop. It must not block, and may reply later.
type Handler func(*Message, Reply)

// Server serves HTTP requests on one evio loop.
type Server struct {
	handler  Handler
	maxConns int
	log      *slog.Logger

	// conns is only accessed on the loop.
	conns map[*serverConn]struct{}
}

// serverConn is one connection. All but what mu guards is only accessed on the loop.
type serverConn struct {
	conn     evio.Conn
	parser   *Parser
	busy     bool // a request is being processed
	lastUsed time.Time
	closing  bool

	mu       sync.Mutex
	inLoop   bool // the loop is in data and takes the response without a wake-up
	response *Message
}

// NewServer makes a server with at most maxConns connections.
func NewServer(handler Handler, maxConns int, log *slog.Logger) *Server {
	return &Server{handler: handler, maxConns: maxConns, log: log, conns: map[*serverConn]struct{}{}}
}

// Serve serves on addr and calls ready when it listens. It only returns with an error.
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
	return fmt.Errorf("serve %s: %w", addr, errLoopEnded)
}

func (s *Server) opened(c evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	sc := &serverConn{conn: c, parser: NewRequestParser(), lastUsed: time.Now()}
	c.SetContext(sc)
	s.conns[sc] = struct{}{}
	opts.ReuseInputBuffer = true
	// The loop ends when accepting fails for lack of file descriptors, so the number of
	// connections stays below the limit: the one that was idle longest is closed.
	if len(s.conns) > s.maxConns && !s.evictIdle(sc) {
		return nil, opts, evio.Close
	}
	return nil, opts, evio.None
}

// evictIdle closes the connection that was idle longest, other than except, and reports
// whether there is one.
func (s *Server) evictIdle(except *serverConn) bool {
	var oldest *serverConn
	for sc := range s.conns {
		if sc == except || sc.busy || sc.closing {
			continue
		}
		if oldest == nil || sc.lastUsed.Before(oldest.lastUsed) {
			oldest = sc
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeOnLoop()
	return true
}

// closeOnLoop has the loop close the connection.
func (sc *serverConn) closeOnLoop() {
	sc.closing = true
	sc.conn.Wake()
}

func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	if sc, ok := c.Context().(*serverConn); ok {
		delete(s.conns, sc)
	}
	return evio.None
}

// data is called with the bytes that were read, or with none after a wake-up. It returns
// the bytes to write.
func (s *Server) data(c evio.Conn, in []byte) ([]byte, evio.Action) {
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return nil, evio.Close
	}
	if sc.closing && !sc.busy {
		return nil, evio.Close
	}
	if len(in) > 0 {
		sc.lastUsed = time.Now()
		sc.parser.Feed(in)
		if sc.busy && sc.parser.Buffered() > maxPipelined {
			return nil, evio.Close
		}
	}
	var out []byte
	for {
		if sc.busy {
			response := sc.takeResponse()
			if response == nil {
				return out, evio.None
			}
			sc.busy = false
			sc.lastUsed = time.Now()
			sc.closing = sc.closing || response.Close
			out = AppendResponse(out, response)
			if sc.closing {
				return out, evio.Close
			}
		}
		request, err := sc.parser.Next()
		if err != nil {
			s.log.Debug("received a malformed request", "from", sc.conn.RemoteAddr(), "err", err)
			sc.closing = true
			return AppendResponse(out, &Message{Status: statusOf(err), Close: true}), evio.Close
		}
		if request == nil {
			return out, evio.None
		}
		sc.busy = true
		sc.inLoop = true
		sc.closing = request.Close
		s.handler(request, sc.replier(request.Close))
	}
}

// statusOf is the status of the response to a request that can't be parsed.
func statusOf(err error) int {
	var statusError *StatusError
	if errors.As(err, &statusError) {
		return statusError.Status
	}
	return http.StatusBadRequest
}

// takeResponse returns the response of the request that is processed; nil if there is
// none yet. Its reply then wakes the loop up.
func (sc *serverConn) takeResponse() *Message {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	response := sc.response
	sc.response = nil
	sc.inLoop = false
	return response
}

// replier makes the Reply of one request.
func (sc *serverConn) replier(closing bool) Reply {
	var once sync.Once
	return func(m *Message) {
		once.Do(func() {
			m.Close = m.Close || closing
			sc.mu.Lock()
			sc.response = m
			wake := !sc.inLoop
			sc.mu.Unlock()
			if wake {
				sc.conn.Wake()
			}
		})
	}
}

// sweep closes connections whose timeout has passed.
func (s *Server) sweep() (time.Duration, evio.Action) {
	now := time.Now()
	for sc := range s.conns {
		if sc.busy || sc.closing {
			continue
		}
		idle := now.Sub(sc.lastUsed)
		if idle > idleTimeout || (idle > partialTimeout && sc.parser.Partial()) {
			sc.closeOnLoop()
		}
	}
	return sweepInterval, evio.None
}
