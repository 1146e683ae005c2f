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
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 3 * time.Minute
	// partialTimeout is the time without further bytes after which a connection with an
	// incomplete request is closed.
	partialTimeout = 15 * time.Second
	// sweepInterval is the interval at which the timeouts are checked.
	sweepInterval = time.Second
	// maxPipelined is the maximum number of bytes that a connection buffers while it
	// processes a request.
	maxPipelined = MaxHead + MaxRequestBody
)

var errLoopEnded = errors.New("the event loop ended")

// Reply sends the response to one request. It may be called from any goroutine. Only the
// first call has an effect.
type Reply func(*Message)

// Handler processes a request on the event loop. It must not block. It may call the Reply
// after it has returned.
type Handler func(*Message, Reply)

// Server serves HTTP requests on one evio event loop. Each connection has one request in
// progress at a time.
type Server struct {
	handler  Handler
	maxConns int
	log      *slog.Logger

	// conns is only accessed on the event loop.
	conns map[*serverConn]struct{}
}

// serverConn is one connection. The fields that mu does not guard are only accessed on the
// event loop.
type serverConn struct {
	conn     evio.Conn
	parser   *Parser
	busy     bool // a request is being processed
	lastUsed time.Time
	closing  bool // the connection is closed once no request is being processed

	mu       sync.Mutex
	inLoop   bool // whether onData is running, which sends the response without a wake-up
	response *Message
}

// NewServer returns a server that passes requests to handler and keeps at most maxConns
// connections open: for a new one it closes the connection that was idle longest, or the new
// one if no other is idle.
func NewServer(handler Handler, maxConns int, log *slog.Logger) *Server {
	return &Server{handler: handler, maxConns: maxConns, log: log, conns: map[*serverConn]struct{}{}}
}

// Serve serves on addr and calls ready once it listens. It returns only after an error.
func (s *Server) Serve(addr string, ready func()) error {
	var events evio.Events
	events.NumLoops = 1
	events.Serving = func(evio.Server) evio.Action {
		ready()
		return evio.None
	}
	events.Opened = s.onOpened
	events.Closed = s.onClosed
	events.Data = s.onData
	events.Tick = s.sweep
	if err := evio.Serve(events, "tcp://"+addr); err != nil {
		return fmt.Errorf("serve %s: %w", addr, err)
	}
	return fmt.Errorf("serve %s: %w", addr, errLoopEnded)
}

func (s *Server) onOpened(c evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
	sc := &serverConn{conn: c, parser: NewRequestParser(), lastUsed: time.Now()}
	c.SetContext(sc)
	s.conns[sc] = struct{}{}
	opts.ReuseInputBuffer = true
	// The event loop ends if accepting a connection fails for lack of file descriptors.
	// To keep the number of connections below the limit, the server closes the connection
	// that was idle longest, or the new connection if no other one is idle.
	if len(s.conns) > s.maxConns && !s.evictIdle(sc) {
		return nil, opts, evio.Close
	}
	return nil, opts, evio.None
}

// evictIdle closes the connection that was idle longest, apart from except. It reports
// whether it found an idle connection.
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

// closeOnLoop marks the connection for closing and wakes up the event loop, which closes it
// unless a request is being processed.
func (sc *serverConn) closeOnLoop() {
	sc.closing = true
	sc.conn.Wake()
}

func (s *Server) onClosed(c evio.Conn, _ error) evio.Action {
	if sc, ok := c.Context().(*serverConn); ok {
		delete(s.conns, sc)
	}
	return evio.None
}

// onData is the evio callback for received bytes; after a wake-up there are none. It passes
// complete requests to the handler, one after the other, and returns the bytes of the responses
// that the handler has given, and whether the connection is to be closed. A malformed request
// is answered with the status of its error, and its connection closed.
func (s *Server) onData(c evio.Conn, in []byte) ([]byte, evio.Action) {
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

// statusOf returns the status code of the response to a request that can't be parsed.
func statusOf(err error) int {
	var statusError *StatusError
	if errors.As(err, &statusError) {
		return statusError.Status
	}
	return http.StatusBadRequest
}

// takeResponse returns the response to the current request, or nil if the handler has not
// replied yet. In that case the later reply wakes up the event loop.
func (sc *serverConn) takeResponse() *Message {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	response := sc.response
	sc.response = nil
	sc.inLoop = false
	return response
}

// replier returns the Reply for one request. If closing is set, the connection is closed
// after the response.
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

// sweep is the evio callback that runs once per sweepInterval. It closes the connections
// without a request in progress that have neither received bytes nor sent a response for
// idleTimeout, or for partialTimeout if they hold an incomplete request.
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
