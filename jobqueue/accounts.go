package jobqueue

import apiv1 "github.com/cairnlift/cairnlift/api/v1"

// AccountConfiguration returns the configuration of a client account, nil if it has none: weight 1 and no
// limits. The caller must not modify it.
func (m *Machine) AccountConfiguration(name string) *apiv1.AccountConfiguration {
	for _, a := range m.configuration.Accounts {
		if a.Name == name {
			return a
		}
	}
	return nil
}

// AccountWeight returns the weight of a client account under contention, greater than 0.
func (m *Machine) AccountWeight(name string) float64 {
	if a := m.AccountConfiguration(name); a.GetWeight() > 0 {
		return a.Weight
	}
	return 1
}

// QueueHold returns the newest order about the hold of a queue, nil if there was none. The caller must
// not modify it.
func (m *Machine) QueueHold(queue string) *apiv1.QueueHold { return m.holds[queue] }

// QueueHeld reports whether no task of a queue may start.
func (m *Machine) QueueHeld(queue string) bool { return m.holds[queue].GetHeld() }

// Account returns the client account that submitted the job, empty if none is known.
func (j *Job) Account() string { return j.Spec.Account }
