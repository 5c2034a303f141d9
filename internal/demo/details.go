package demo

import (
	"slices"
	"sync"

	"github.com/firlever/firlever/internal/invariant"
)

// maxDetails is how many violations are told in full.
const maxDetails = 100

// details keeps the first violations that the program or a caller reports. It
// is safe for concurrent use.
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
