//go:build linux

package procs

import "testing"

// report fails the test for each violation, and logs how much was checked.
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
		t.Errorf("got %d status reports with %d invariant checks, want some of both", m.statusCount, checks)
	}
	t.Logf("invariants: %d checks in the processes, %d status reports read, %d violations", checks, m.statusCount, len(m.violations))
}
