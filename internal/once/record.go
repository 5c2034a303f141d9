package once

import "time"

const (
	recordSize    = 320 // bytes counted for a record with its map and heap entries; see BenchmarkCapacityRecord
	maxRequestID  = 64  // bytes stored of a request ID
	maxDispatches = 1   // dispatches without proof in between that nothing ran
)

// record is the home's state of one key for which a request has begun.
type record struct {
	number      [numberSize]byte
	fingerprint Fingerprint
	until       time.Time // the key's deadline; the record is kept at least until then
	requestID   string    // ID of the request that runs or ran it, truncated to maxRequestID
	outcome     Outcome   // zero while running
	attempt     uint32    // number of the latest attempt; incremented by each VerdictRun
	dispatches  uint32    // without proof that nothing ran; at most 1
	heapIndex   int       // in the deadline heap
}

func (r *record) running() bool { return r.outcome.Kind == 0 }

// Deadline implements the item interface of deadline.Heap.
func (r *record) Deadline() time.Time { return r.until }

// Place implements the item interface of deadline.Heap.
func (r *record) Place() *int { return &r.heapIndex }
