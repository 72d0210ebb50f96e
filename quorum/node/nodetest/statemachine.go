package nodetest

import (
	"encoding/json"
	"slices"
	"sync"
)

// StateMachine is a state machine whose state is the list of applied commands.
type StateMachine struct {
	mu       sync.Mutex
	commands []string
	restores int
	// frozen blocks Apply until it is closed; nil while Apply does not block.
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

// Commands returns the commands in log order.
func (m *StateMachine) Commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// Restores returns the number of snapshots that replaced the state.
func (m *StateMachine) Restores() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restores
}

// Freeze blocks the replica in its next Apply, like a paused process, until the returned function
// is called.
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
