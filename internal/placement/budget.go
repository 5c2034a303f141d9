package placement

import "time"

const (
	// crossShare is the part of a region's requests that plans may move between regions in a
	// crossWindow: a third of the usual cap on shifts, as callers that move use it too.
	crossShare  = 0.05
	crossWindow = 2 * time.Second
)

// Budget bounds what the plans of all services move between regions.
type Budget struct {
	from time.Time // begin of the current crossWindow
	left float64   // requests a second that may still move within it; 0 or more
}

// Refill allows a part of the given requests a second to move, once in each crossWindow.
func (b *Budget) Refill(now time.Time, requests float64) {
	if now.Sub(b.from) >= crossWindow {
		b.from, b.left = now, crossShare*requests
	}
}

// spend reports whether requests may move, and counts them.
func (b *Budget) spend(requests float64) bool {
	if requests > b.left {
		return false
	}
	b.left -= requests
	return true
}
