package jobqueue

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Wave is a wave of host maintenance.
type Wave struct {
	Spec     *apiv1.StartWave
	Finished []string
}

// Done reports whether every host had its maintenance.
func (w *Wave) Done() bool { return len(w.Finished) >= len(w.Spec.Hosts) }

// Wave returns a wave, nil when there is none of that id.
func (m *Machine) Wave(id string) *Wave { return m.waves[id] }

// startWave takes a wave in; sending it again changes nothing.
func (m *Machine) startWave(s *apiv1.StartWave) apiv1.JobOutcome {
	if s.GetId() == "" || s.Cap == 0 {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	if m.waves[s.Id] == nil {
		m.waves[s.Id] = &Wave{Spec: s}
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

func (w *Wave) record() *apiv1.WaveRecord {
	return &apiv1.WaveRecord{Wave: w.Spec, Finished: slices.Clone(w.Finished)}
}
