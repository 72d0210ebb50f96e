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
	// lockPort is the port on a subnet's last address that is listened on while the subnet
	// is in use.
	lockPort = 7099
)

// subnet is an address range 127.0.N.1 to 127.0.N.254 reserved for one script, so that
// scripts with fixed ports can run concurrently, also in other test processes.
type subnet struct {
	prefix string
	lock   net.Listener
}

func acquireSubnet() (*subnet, error) {
	for i := range subnets {
		n := firstSubnet + (os.Getpid()+i)%subnets
		prefix := fmt.Sprintf("127.0.%d", n)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", prefix, lockPort))
		if err == nil {
			return &subnet{prefix: prefix, lock: lock}, nil
		}
	}
	return nil, errors.New("every loopback subnet is in use")
}

func (s *subnet) release() { _ = s.lock.Close() }

// address returns the address of a port on the k-th host of a group.
func (s *subnet) address(g group, k, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.prefix, int(g)+k, port)
}

// group is a kind of host; its value is the number of its first host in the subnet, less
// one.
type group int

const (
	entryHosts group = 0
	agentHosts group = 20
	linkHost   group = 200
)
