package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports of processes that are restarted must be free then: they are outside the range
// from which Linux assigns ephemeral ports.
const (
	firstPort       = 12_000
	portCount       = 20_000
	maxPortAttempts = 1000
)

// errNoPort says that no free port was found.
var errNoPort = errors.New("no free port on loopback")

// freeAddress returns a loopback address at which nobody listens.
func freeAddress() (string, error) {
	for range maxPortAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("close listener at %s: %w", addr, err)
		}
		return addr, nil
	}
	return "", errNoPort
}
