//go:build linux

package procs

import "testing"

// report fails the test for what was seen, and prints how much was checked.
func (m *monitor) report(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	for fault := range m.violations {
		t.Error(fault)
	}
	var checks uint64
	for _, n := range m.checks {
		checks += n
	}
	if m.statusCount == 0 || checks == 0 {
		t.Errorf("got %d reports with %d checks, want some", m.statusCount, checks)
	}
	t.Logf("invariants: %d checks in the processes, %d reports read, %d faults", checks, m.statusCount, len(m.violations))
}
