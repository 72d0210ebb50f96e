package node

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// maxSenders bounds the senders that are remembered without being members there.
const maxSenders = quorum.MaxReplicas

// AddressBook says where replicas are reached: the members where the membership has
// them, and senders of messages where they said. What goes wrong without the senders:
// a replica that is far behind, or was just taken in, knows the group as it was long
// ago; it can't answer a leader that joined or moved since, is never seen to catch up
// and never gets its vote. The next lost disk then ends the majority.
//
// Not safe for use by several goroutines. The zero value is empty.
type AddressBook struct {
	members map[uint64]string
	// senders are senders that the membership does not have at their address, the one
	// that was first heard longest ago in front. The list forgets from there: in a
	// series of lost disks its front is of disks that are gone.
	senders []sender
}

type sender struct {
	id      uint64
	address string
}

// SetMembers takes a membership over. A member that is new there or has moved is
// reached where the membership says, until it is heard from elsewhere.
func (b *AddressBook) SetMembers(m *apiv1.Membership) {
	members := map[uint64]string{}
	for _, r := range m.GetReplicas() {
		members[r.Id] = r.Address
		if b.members[r.Id] != r.Address {
			b.removeSender(r.Id)
		}
	}
	b.members = members
}

// RecordSender notes where the sender of a message is reached.
func (b *AddressBook) RecordSender(id uint64, address string) {
	if address == "" || b.Address(id) == address {
		return
	}
	b.removeSender(id)
	if b.members[id] == address {
		return
	}
	b.senders = append(b.senders, sender{id: id, address: address})
	if len(b.senders) > maxSenders {
		b.senders = b.senders[1:]
	}
}

func (b *AddressBook) removeSender(id uint64) {
	b.senders = slices.DeleteFunc(b.senders, func(s sender) bool { return s.id == id })
}

// Address returns where a replica is reached, "" when that isn't known.
func (b *AddressBook) Address(id uint64) string {
	for _, s := range b.senders {
		if s.id == id {
			return s.address
		}
	}
	return b.members[id]
}

// All returns the addresses of all replicas that can be reached, by id.
func (b *AddressBook) All() map[uint64]string {
	all := map[uint64]string{}
	for id := range b.members {
		all[id] = b.Address(id)
	}
	for _, s := range b.senders {
		all[s.id] = s.address
	}
	return all
}
