package nodetest

import (
	"encoding/json"
	"slices"
	"sync"
)

// StateMachine is a state machine that lists the commands that it applied.
type StateMachine struct {
	mu       sync.Mutex
	commands []string
	restores int
	// frozen holds up Apply until it is closed.
	frozen chan struct{}
}

// Apply implements quorum.StateMachine. Its result is the command.
func (m *StateMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	frozen := m.frozen
	m.commands = append(m.commands, string(command))
	m.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return command
}

// Snapshot implements quorum.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.commands)
}

// Restore implements quorum.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	m.restores++
	return json.Unmarshal(data, &m.commands)
}

// Commands returns the commands in the order of the log.
func (m *StateMachine) Commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// Restores returns how often a snapshot replaced the state.
func (m *StateMachine) Restores() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restores
}

// Freeze makes the replica stand still at its next Apply, as a stopped process
// does, until the returned function is called.
func (m *StateMachine) Freeze() (thaw func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	frozen := make(chan struct{})
	m.frozen = frozen
	return sync.OnceFunc(func() {
		m.mu.Lock()
		m.frozen = nil
		m.mu.Unlock()
		close(frozen)
	})
}
