package once

import "time"

const (
	recordSize    = 320 // bytes counted for a record, its map entry and its heap entry; see BenchmarkCapacityRecord
	maxRequest    = 64  // bytes kept of a request id
	notInHeap     = -1
	maxDispatches = 1 // dispatches allowed without a proof between them
)

// record is what the home knows of one key that has begun.
type record struct {
	number      [numberSize]byte
	fingerprint Fingerprint
	until       time.Time // the key's deadline; the record stays at least until then
	request     string    // id of the request that runs or ran it
	outcome     Outcome   // zero while under way
	attempt     uint32    // grows with each VerdictRun
	dispatches  uint32    // without a proof that nothing ran; never over 1
	place       int       // in the heap, or notInHeap
}

func (r *record) running() bool { return r.outcome.Kind == 0 }

// deadlines is a heap of records, the earliest deadline first.
type deadlines []*record

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].until.Before(d[j].until) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place = i
	d[j].place = j
}

// Push is for container/heap.
func (d *deadlines) Push(x any) {
	r := x.(*record)
	r.place = len(*d)
	*d = append(*d, r)
}

// Pop is for container/heap.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	r := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	r.place = notInHeap
	return r
}
