package jobclient

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
)

const (
	// refreshInterval is the time from the end of one request for the list of control hosts to the
	// next request, and the timeout of each of them.
	refreshInterval = 2 * time.Second
	// retryInterval replaces refreshInterval while no member of the group is known to respond.
	retryInterval = 250 * time.Millisecond
	// recordRefusedInterval is the time from a refusal to record a directory to the next request. A
	// leader of a release without that command refuses each of them.
	recordRefusedInterval = 10 * time.Second
	// notFoundLogInterval is the minimum time between two lines about a group that is not found.
	notFoundLogInterval = 10 * time.Second
	// maxAnnounced bounds the addresses in an announcement: the members and the leader.
	maxAnnounced = quorum.MaxReplicas + 1
	// maxPeers bounds the hosts that are queried while no member responds.
	maxPeers = 128
)

// Run keeps the list of control hosts up to date until ctx is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryInterval
		if c.refresh(ctx) {
			wait = refreshInterval
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-c.announced:
		}
		t.Stop()
	}
}

// refresh queries one control host after another, until a member of the group returns the list of
// members, and reports whether one did. The list of a directory leads to members, but it counts
// neither as contact with the group nor as a reason to remove members, because it may be outdated.
func (c *Client) refresh(ctx context.Context) bool {
	timeout, cancel := context.WithTimeout(ctx, refreshInterval)
	defer cancel()
	var found *apiv1.JobsMembersResponse
	var member string
	answers := map[string]string{}
	c.forwarder.TryHosts(timeout, false, func(ctx context.Context, address string) (string, bool) {
		hint := ""
		resp, err := c.jobsClient(address).Members(ctx, &apiv1.JobsMembersRequest{Directory: c.directory})
		switch {
		case err != nil:
			answers[address] = err.Error()
		case len(resp.Addresses) == 0:
			answers[address] = "it knows no other host"
		case slices.Contains(resp.Addresses, address):
			// A member of the group includes its own address.
			c.setMembers(resp.Addresses, resp.Index)
			found, member = resp, address
		default:
			answers[address] = fmt.Sprintf("it is not a member and names %d other hosts", len(resp.Addresses))
			c.addFromDirectory(address, resp.Addresses)
			// Some of the reported hosts may not answer, so the leader goes first.
			hint = resp.LeaderAddress
		}
		return hint, found != nil
	})
	if found == nil {
		c.restoreSeeds()
		c.logNotFound(answers)
		return false
	}
	c.notFoundLoggedAt = time.Time{}
	if c.directory != "" {
		c.continueAsDirectory(ctx, found, cmp.Or(found.LeaderAddress, member))
	}
	return true
}

// continueAsDirectory has a directory follow the leader, which then need not tell it where the group
// is, and has it recorded if it is not.
func (c *Client) continueAsDirectory(ctx context.Context, found *apiv1.JobsMembersResponse, leader string) {
	c.forwarder.SetLeader(leader)
	if !found.DirectoryRecorded && time.Since(c.recordRefusedAt) >= recordRefusedInterval {
		c.recordDirectory(ctx)
	}
}

// logNotFound logs which hosts a refresh asked for the members and what each of them answered.
func (c *Client) logNotFound(answers map[string]string) {
	if len(answers) == 0 || time.Since(c.notFoundLoggedAt) < notFoundLogInterval {
		return
	}
	c.notFoundLoggedAt = time.Now()
	var asked []string
	for address, answer := range answers {
		asked = append(asked, address+": "+answer)
	}
	slices.Sort(asked)
	event.GroupNotFound.Write(c.logger, event.Asked(asked))
}

// recordDirectory has the group record this process as a directory. A failure shows in the next
// response to Members.
func (c *Client) recordDirectory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshInterval)
	defer cancel()
	res, err := c.forwarder.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_RecordDirectory{
		RecordDirectory: &apiv1.RecordDirectory{Address: c.directory},
	}})
	if err == nil && res.Verdict == apiv1.Verdict_VERDICT_REFUSED {
		c.recordRefusedAt = time.Now()
		err = errors.New(res.Message)
	}
	event.DirectoryRecorded.Write(c.logger, event.Address(c.directory), event.Err(err))
}

// setMembers replaces the list of members, unless the response is older than an earlier one: a
// member that is cut off may list members that have been replaced since. The seeds stay on the
// list, so that the client finds the group again if all known members are replaced while the client
// is cut off. Seeds that are directories are left out until restoreSeeds: a request that they
// cannot serve would only have to wait for its next attempt.
func (c *Client) setMembers(members []string, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
	if index < c.membersIndex {
		c.setPeers(slices.Concat(c.peers, members))
		return
	}
	c.membersIndex = index
	seeds := slices.DeleteFunc(slices.Clone(c.seeds), func(a string) bool { return c.directories[a] })
	c.setPeers(slices.Concat(members, seeds))
}

// addFromDirectory adds the hosts that a directory reported to the hosts that are queried.
func (c *Client) addFromDirectory(directory string, reported []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directories[directory] = true
	c.addPeers(reported)
}

// Announced adds the hosts that a leader announced to the hosts that are queried, the leader first.
// It returns an error if an address is not an IP address with a port, or there are too many.
func (c *Client) Announced(r *apiv1.JobsAnnounceRequest) error {
	hosts := append(slices.Clone(r.Addresses), r.LeaderAddress)
	if len(hosts) > maxAnnounced {
		return errors.Newf("%d addresses, at most %d are allowed", len(hosts), maxAnnounced)
	}
	for _, a := range hosts {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.Wrap(err, "address")
		}
	}
	c.mu.Lock()
	c.addPeers(hosts)
	c.mu.Unlock()
	c.forwarder.SetLeader(r.LeaderAddress)
	select {
	case c.announced <- struct{}{}:
	default:
	}
	return nil
}

// addPeers adds hosts to those that are queried. If there are too many, only the seeds are kept
// beside the added ones. The caller must hold mu.
func (c *Client) addPeers(added []string) {
	peers := slices.Concat(c.peers, added)
	slices.Sort(peers)
	if peers = slices.Compact(peers); len(peers) > maxPeers {
		peers = slices.Concat(c.seeds, added[:min(len(added), maxPeers)])
	}
	c.setPeers(peers)
}

// restoreSeeds adds all seeds, including directories, to the hosts that are queried.
func (c *Client) restoreSeeds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.directories)
	c.addPeers(c.seeds)
}

// setPeers replaces the hosts that are queried. The caller must hold mu.
func (c *Client) setPeers(peers []string) {
	slices.Sort(peers)
	peers = slices.Compact(peers)
	if slices.Equal(peers, c.peers) {
		return
	}
	c.peers = peers
	c.forwarder.SetPeers(peers)
	event.ControlHostsChanged.Write(c.logger, event.Addresses(peers))
}

// Addresses returns the internal addresses of the known control hosts, including the seeds until
// the group is found.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.peers)
}
