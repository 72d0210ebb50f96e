package jobqueue

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cairnlift/cairnlift/account"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// maxAccountRecords bounds the accounts that AccountRecords lists by name.
const maxAccountRecords = 1000

// AccountRecords returns the client accounts that are configured or have work, with their use and waiting
// work at wallMs (Unix milliseconds), ordered by name. Jobs without an account are listed under the empty
// name. If there are more than maxAccountRecords, those with the fewest running and waiting tasks and
// without a configuration share the record account.Other. It visits all active jobs, so it is meant for
// reads by operators.
func (m *Machine) AccountRecords(wallMs int64) []*apiv1.AccountRecord {
	records := map[string]*apiv1.AccountRecord{}
	for _, a := range m.configuration.Accounts {
		records[a.Name] = m.newAccountRecord(a.Name)
	}
	for _, j := range m.active.values {
		r := records[j.Account()]
		if r == nil {
			r = m.newAccountRecord(j.Account())
			records[r.Name] = r
		}
		j.addUse(r, wallMs)
	}
	list := make([]*apiv1.AccountRecord, 0, len(records))
	for _, r := range records {
		list = append(list, r)
	}
	list = m.mergeSmallAccounts(list)
	slices.SortFunc(list, func(a, b *apiv1.AccountRecord) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (m *Machine) newAccountRecord(name string) *apiv1.AccountRecord {
	return &apiv1.AccountRecord{
		Name: name, Weight: m.AccountWeight(name), Limits: m.AccountConfiguration(name).GetLimits(),
		PendingJobs: uint32(m.PendingJobsOf(name)),
	}
}

// addUse adds what the runs of the job reserve, including runs that are being stopped, and its tasks that
// could run and have no run.
func (j *Job) addUse(r *apiv1.AccountRecord, wallMs int64) {
	for k, o := range j.Occurrences {
		for i, s := range o.Steps {
			if j.Open() && j.Due(k, wallMs) && o.StepReady(i) {
				r.WaitingTasks += uint32(len(s.Tasks) - s.done - s.scheduled)
			}
			reserved := Reserved(s.Spec)
			for _, t := range s.Tasks {
				n := int64(len(t.Runs))
				r.CpuMilli += n * reserved.CPUMilli
				r.MemoryMb += n * reserved.MemoryMB
				r.Accelerators += n * reserved.Accelerators
				r.RunningTasks += uint32(n)
			}
		}
	}
}

func (m *Machine) mergeSmallAccounts(list []*apiv1.AccountRecord) []*apiv1.AccountRecord {
	if len(list) <= maxAccountRecords {
		return list
	}
	kept := func(r *apiv1.AccountRecord) bool {
		return r.Name == account.Other || m.AccountConfiguration(r.Name) != nil
	}
	slices.SortFunc(list, func(a, b *apiv1.AccountRecord) int {
		if kept(a) != kept(b) {
			if kept(a) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.RunningTasks+b.WaitingTasks, a.RunningTasks+a.WaitingTasks), strings.Compare(a.Name, b.Name))
	})
	other := &apiv1.AccountRecord{Name: account.Other, Weight: 1}
	if i := slices.IndexFunc(list, func(r *apiv1.AccountRecord) bool { return r.Name == account.Other }); i >= 0 {
		other = list[i]
		list = slices.Delete(list, i, i+1)
	}
	for len(list) >= maxAccountRecords && !kept(list[len(list)-1]) {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		other.CpuMilli += last.CpuMilli
		other.MemoryMb += last.MemoryMb
		other.Accelerators += last.Accelerators
		other.RunningTasks += last.RunningTasks
		other.WaitingTasks += last.WaitingTasks
		other.PendingJobs += last.PendingJobs
	}
	return append(list, other)
}
