package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Range of the ports on which processes of a run listen. It lies outside the range from which
// Linux assigns ephemeral ports, so that the port of a process is still free when the process
// is restarted.
const (
	firstPort       = 12_000
	portCount       = 20_000
	maxPortAttempts = 1000
)

// errNoFreePort reports that maxPortAttempts random ports were all in use.
var errNoFreePort = errors.New("no free port on loopback")

// freeAddress returns a loopback address with a random port on which no process listens. It fails
// after maxPortAttempts ports that were in use.
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
	return "", errNoFreePort
}
