package scale

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of processes that are started again have to be free then: they are outside
// the range from which Linux gives ports to those who name none.
const (
	firstPort   = 12_000
	portCount   = 20_000
	portTries   = 1000
	loopbackAny = "127.0.0.1:%d"
)

// errNoPort says that no free port was found.
var errNoPort = errors.New("no free port on loopback")

// freeAddress is an address on loopback that nobody listens at.
func freeAddress() (string, error) {
	for range portTries {
		addr := fmt.Sprintf(loopbackAny, firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", errNoPort
}
