package once

import "time"

const (
	recordSize    = 320 // bytes counted for a record, its map entry and its heap entry; see BenchmarkCapacityRecord
	maxRequestID  = 64  // bytes kept of a request id
	maxDispatches = 1   // dispatches allowed without a proof between them
)

// record is what the home knows of one key that has begun.
type record struct {
	number      [numberSize]byte
	fingerprint Fingerprint
	until       time.Time // the key's deadline; the record stays at least until then
	requestID   string    // id of the request that runs or ran it
	outcome     Outcome   // zero while under way
	attempt     uint32    // grows with each VerdictRun
	dispatches  uint32    // without a proof that nothing ran; never over 1
	heapIndex   int       // in the heap of deadlines
}

func (r *record) running() bool { return r.outcome.Kind == 0 }

// Deadline is for deadline.Heap.
func (r *record) Deadline() time.Time { return r.until }

// Place is for deadline.Heap.
func (r *record) Place() *int { return &r.heapIndex }
