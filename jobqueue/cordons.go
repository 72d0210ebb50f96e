package jobqueue

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// maxZoneName bounds the length of the name of an availability zone, in bytes.
	maxZoneName = 200
	// maxZones bounds the availability zones about which orders are stored.
	maxZones = 1000
)

// ValidateZoneName returns an error if a string cannot be the name of an availability zone.
func ValidateZoneName(name string) error {
	switch {
	case name == "":
		return errors.New("the name of the availability zone is missing")
	case len(name) > maxZoneName:
		return errors.Newf("the name of an availability zone has at most %d bytes", maxZoneName)
	}
	return nil
}

// setCordon cordons or uncordons an availability zone.
//
// An order has no number of its own, so a delayed copy of it looks like a new one. Each accepted order
// therefore raises the zone's revision, and an order that would change the zone is accepted only at the
// revision that its sender read after receiving it. An order that asks for what is in effect is accepted
// at any revision: it may be the retry of one whose acknowledgement was lost. It raises the revision
// too, so that no older order of the opposite kind can take effect after its acknowledgement.
func (m *Machine) setCordon(c *apiv1.SetCordon) apiv1.JobOutcome {
	if ValidateZoneName(c.GetZone()) != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	current := m.cordons[c.Zone]
	changes := c.Cordoned != current.GetCordoned()
	switch {
	case changes && c.ReadRevision != current.GetRevision():
		return apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED
	case current == nil && len(m.cordons) >= maxZones:
		return apiv1.JobOutcome_JOB_OUTCOME_FULL
	}
	// Responses may still refer to the current record, so it is replaced.
	next := &apiv1.ZoneCordon{Zone: c.Zone, Revision: current.GetRevision() + 1, Cordoned: c.Cordoned}
	if changes || current == nil {
		next.SinceMs, next.Operator = m.nowMs, c.Operator
	} else {
		next.SinceMs, next.Operator = current.SinceMs, current.Operator
	}
	m.cordons[c.Zone] = next
	if changes {
		m.reviseOrdersIn(c.Zone)
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// reviseOrdersIn raises the revisions of the workers in a zone, so that their agents hear of the change
// at once.
func (m *Machine) reviseOrdersIn(zone string) {
	for _, w := range m.workers.values {
		if w.Spec.AvailabilityZone == zone {
			w.Revision++
		}
	}
}

// Cordon returns the newest order about an availability zone, nil if there was none. The caller must not
// modify it.
func (m *Machine) Cordon(zone string) *apiv1.ZoneCordon { return m.cordons[zone] }

// Cordoned reports whether nothing may start in an availability zone.
func (m *Machine) Cordoned(zone string) bool { return m.cordons[zone].GetCordoned() }

// Cordons returns the newest order about each availability zone, ordered by zone. The caller must not
// modify them.
func (m *Machine) Cordons() []*apiv1.ZoneCordon {
	var list []*apiv1.ZoneCordon
	for _, name := range slices.Sorted(maps.Keys(m.cordons)) {
		list = append(list, m.cordons[name])
	}
	return list
}

// Zones returns the availability zones that have workers or were ever cordoned.
func (m *Machine) Zones() ZoneTable {
	zones := ZoneTable{}
	for name, cordon := range m.cordons {
		zones.zone(name).Cordon = proto.CloneOf(cordon)
	}
	for _, w := range m.Workers() {
		zones.AddWorker(w.Spec.AvailabilityZone, len(w.Runs))
	}
	return zones
}

// ZoneTable maps names of availability zones to their records.
type ZoneTable map[string]*apiv1.ZoneRecord

func (t ZoneTable) zone(name string) *apiv1.ZoneRecord {
	if t[name] == nil {
		t[name] = &apiv1.ZoneRecord{Cordon: &apiv1.ZoneCordon{Zone: name}}
	}
	return t[name]
}

// AddWorker counts a worker and its runs in its zone.
func (t ZoneTable) AddWorker(zone string, runs int) {
	z := t.zone(zone)
	z.Workers++
	z.Runs += uint32(runs)
}

// Sorted returns the records ordered by name.
func (t ZoneTable) Sorted() []*apiv1.ZoneRecord {
	list := make([]*apiv1.ZoneRecord, 0, len(t))
	for _, name := range slices.Sorted(maps.Keys(t)) {
		list = append(list, t[name])
	}
	return list
}

// restoreCordons restores the cordons of a snapshot; one of an earlier release contains none.
func (m *Machine) restoreCordons(list []*apiv1.ZoneCordon) {
	for _, c := range list {
		m.cordons[c.Zone] = proto.CloneOf(c)
	}
}
