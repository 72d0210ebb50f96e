package jobqueue

// WaitingTasks returns the number of tasks that are not done and have no run.
func (s *Step) WaitingTasks() int { return len(s.Tasks) - s.done - s.scheduled }
