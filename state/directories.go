package state

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// MaxDirectories bounds the recorded directories. With one more, the one recorded first is dropped;
// if it still runs, it is recorded again.
const MaxDirectories = 1024

// recordDirectory records the address of a control host without a replica.
func (m *Machine) recordDirectory(d *apiv1.RecordDirectory) *apiv1.Result {
	address := d.GetAddress()
	if _, err := netip.ParseAddrPort(address); err != nil {
		return refused("directory: " + err.Error())
	}
	if m.HasDirectory(address) {
		return repeated("")
	}
	if len(m.directories) >= MaxDirectories {
		m.directories = slices.Delete(m.directories, 0, 1)
	}
	m.directories = append(m.directories, address)
	return accepted("")
}

// HasDirectory reports whether the control host without a replica at an address is recorded.
func (m *Machine) HasDirectory(address string) bool { return slices.Contains(m.directories, address) }

// Directories returns the addresses of the recorded control hosts without a replica.
func (m *Machine) Directories() []string { return slices.Clone(m.directories) }

func (m *Machine) loadDirectories(addresses []string) error {
	if len(addresses) > MaxDirectories {
		return errors.Newf("%d directories, at most %d are recorded", len(addresses), MaxDirectories)
	}
	m.directories = slices.Clone(addresses)
	return nil
}
