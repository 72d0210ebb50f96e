package scenario

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	firstSubnet = 10
	subnets     = 240
	// lockPort is held on a subnet's last address for as long as it is in use.
	lockPort = 7099
)

// subnet is a range 127.0.N.1 to 127.0.N.254 that one script has for itself, so
// that scripts with fixed ports can run side by side, in other test runs too.
type subnet struct {
	prefix string
	lock   net.Listener
}

func acquireSubnet() (*subnet, error) {
	for i := range subnets {
		n := firstSubnet + (os.Getpid()+i)%subnets
		prefix := fmt.Sprintf("127.0.%d", n)
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", prefix, lockPort))
		if err == nil {
			return &subnet{prefix: prefix, lock: guard}, nil
		}
	}
	return nil, errors.New("every loopback subnet is in use")
}

func (s *subnet) release() { _ = s.lock.Close() }

// address of a port on the k-th host of a group.
func (s *subnet) address(g group, k, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.prefix, int(g)+k, port)
}

// group is the first host number, less one, of a kind of host.
type group int

const (
	entryHosts group = 0
	agentHosts group = 20
	linkHost   group = 200
)
