package node

import (
	"maps"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// maxSenders bounds the number of senders that are remembered although the membership does not
// list them at their address.
const maxSenders = quorum.MaxReplicas

// AddressBook maps replica ids to addresses: of members, as the membership lists them, and of
// message senders, as they reported them. The senders are needed because a replica that is far
// behind, or has just joined, knows only an old membership. Without them, it could not answer a
// leader that joined or moved since, would never be seen to catch up and would never get its vote.
// The next lost disk could then cost the group its majority.
//
// It is not safe for concurrent use. The zero value is empty.
type AddressBook struct {
	members map[uint64]string
	// senders are the senders that the membership does not list at their address, in the order in
	// which they were first seen. The oldest one is dropped first: after a series of lost disks,
	// the oldest senders are replicas whose disks are lost.
	senders []sender
}

type sender struct {
	id      uint64
	address string
}

// SetMembers records a membership. A member that is new or has moved is reached at its address in
// the membership until a message reports another one. One that the membership no longer lists counts as a
// sender: a replica that installs a snapshot goes back to an older membership, which may lack the leader that
// awaits the answer.
func (b *AddressBook) SetMembers(m *apiv1.Membership) {
	members := map[uint64]string{}
	for _, r := range m.GetReplicas() {
		members[r.Id] = r.Address
		if b.members[r.Id] != r.Address {
			b.removeSender(r.Id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.members)) {
		if _, listed := members[id]; !listed {
			b.addSender(id, b.Address(id))
		}
	}
	b.members = members
}

// RecordSender records the address that the sender of a message reported.
func (b *AddressBook) RecordSender(id uint64, address string) {
	if address == "" || b.Address(id) == address {
		return
	}
	b.removeSender(id)
	if b.members[id] == address {
		return
	}
	b.addSender(id, address)
}

func (b *AddressBook) addSender(id uint64, address string) {
	b.removeSender(id)
	b.senders = append(b.senders, sender{id: id, address: address})
	if len(b.senders) > maxSenders {
		b.senders = b.senders[1:]
	}
}

func (b *AddressBook) removeSender(id uint64) {
	b.senders = slices.DeleteFunc(b.senders, func(s sender) bool { return s.id == id })
}

// Address returns the address of a replica, or "" if it is not known.
func (b *AddressBook) Address(id uint64) string {
	for _, s := range b.senders {
		if s.id == id {
			return s.address
		}
	}
	return b.members[id]
}

// All returns the addresses of all known replicas by id.
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
