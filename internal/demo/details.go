package demo

import (
	"slices"
	"sync"

	"github.com/firlever/firlever/internal/invariant"
)

// maxDetails is the number of violations that are reported in full.
const maxDetails = 100

// details holds the first violations that the instances, the journal and the
// callers report. It is safe for concurrent use.
type details struct {
	mu    sync.Mutex
	lines []string
}

func (d *details) add(n invariant.Name, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lines) < maxDetails {
		d.lines = append(d.lines, string(n)+": "+detail)
	}
}

func (d *details) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.lines)
}
