package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// smoothing is the time over which the requests for an object are averaged: ten requests for
	// one that is asked for twice a second, so that its work is known to about a third.
	smoothing = 5 * time.Second
	// levelDrift is by how many levels the work of an object must differ from the told level to be
	// told anew: by a factor of two. Smaller differences are mostly chance, and each may move an object.
	levelDrift = 4
	// forgetBelow is the number of requests within smoothing below which an object is forgotten.
	forgetBelow = 0.05
	// Retention is how long the end of an object's work is told. Who has heard nothing for longer asks
	// for everything.
	Retention = 30 * time.Second
	// warmWeight is the weight of one instance's duration of warm work in the mean.
	warmWeight = 0.1
	// ledgerGap is how long a ledger is used that gets no counts, as another instance collects.
	ledgerGap = 10 * time.Second
	// ledgerInterval is the time between two updates of the rates, and more where there are many
	// objects, so that they take less than 1% of a core.
	ledgerInterval = time.Second
	ledgerRowsPerS = 20_000
)

// Ledger sums the counts of all instances of a region and tells the work of each object.
type Ledger struct {
	started  time.Time                // of the first Add; zero before
	updated  time.Time                // of the last update of the rates
	updateAt time.Time                // the next update
	rows     map[ledgerKey]*ledgerRow // maxObjects at most
	warm     map[uint64]time.Duration // mean duration of warm work by service
	changes  []ledgerKey              // objects by the sequence number of their change, from first on
	first    uint64                   // sequence number of changes[0]
}

type ledgerKey struct {
	service uint64
	Object
}

// ledgerRow is what is known of an object.
type ledgerRow struct {
	counted  int       // requests since the last update
	rate     float64   // running mean of requests a second, too small while the ledger is young
	level    uint8     // as told last
	sequence uint64    // of the last change of level
	forgetAt time.Time // if level is 0
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{rows: make(map[ledgerKey]*ledgerRow), warm: make(map[uint64]time.Duration), first: 1}
}

// Add adds the requests that an instance has counted.
func (l *Ledger) Add(now time.Time, list []ServiceCounts) {
	if now.Sub(l.updated) > ledgerGap {
		// What was counted before is too old, and the gap would read as a lack of requests.
		began := now.Add(-ledgerInterval) // the first counts are of the time before
		*l = Ledger{started: began, updated: began, updateAt: now.Add(ledgerInterval), rows: make(map[ledgerKey]*ledgerRow), warm: l.warm, first: l.last() + 1}
	}
	for _, s := range list {
		l.addWarm(s.Service, s.Warm)
		for _, c := range s.Counts {
			key := ledgerKey{s.Service, c.Object}
			r := l.rows[key]
			if r == nil {
				if len(l.rows) == maxObjects {
					continue
				}
				r = &ledgerRow{}
				l.rows[key] = r
			}
			r.counted += c.Requests
		}
	}
}

// addWarm adds an instance's duration of warm work; 0 if it knows none.
func (l *Ledger) addWarm(service uint64, warm time.Duration) {
	mean, ok := l.warm[service]
	switch {
	case warm == 0:
	case ok:
		l.warm[service] = mean + time.Duration(warmWeight*float64(warm-mean))
	default:
		l.warm[service] = warm
	}
}

// update updates the rates if it is time, and the levels that have changed.
func (l *Ledger) update(now time.Time) {
	if l.started.IsZero() || now.Before(l.updateAt) {
		return
	}
	dt := now.Sub(l.updated)
	l.updated, l.updateAt = now, now.Add(ledgerInterval+time.Duration(len(l.rows))*time.Second/ledgerRowsPerS)
	decay := math.Exp(-float64(dt) / float64(smoothing))
	known := 1 - math.Exp(-float64(now.Sub(l.started))/float64(smoothing)) // share of the mean that comes from known seconds
	var changed []ledgerKey
	for key, r := range l.rows {
		r.rate = r.rate*decay + float64(r.counted)*(1-decay)/dt.Seconds()
		r.counted = 0
		level := uint8(0)
		if r.rate*smoothing.Seconds() >= forgetBelow {
			level = levelOf(r.rate / known * l.warm[key.service].Seconds())
		} else if r.level == 0 {
			if !now.Before(r.forgetAt) {
				delete(l.rows, key)
			}
			continue
		}
		if drift := int(level) - int(r.level); level != r.level && (level == 0 || r.level == 0 || max(drift, -drift) >= levelDrift) {
			r.level, r.forgetAt = level, now.Add(Retention)
			changed = append(changed, key)
		}
	}
	slices.SortFunc(changed, func(a, b ledgerKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), compareObjects(a.Object, b.Object))
	})
	for _, key := range changed {
		l.changes = append(l.changes, key)
		l.rows[key].sequence = l.last()
	}
	l.compact()
}

// last returns the sequence number of the newest change.
func (l *Ledger) last() uint64 { return l.first + uint64(len(l.changes)) - 1 }

// compact drops the older half of the changes if most are superseded. What was dropped and holds is
// told anew, and who has missed it gets everything.
func (l *Ledger) compact() {
	if len(l.changes) <= 2*len(l.rows)+1024 {
		return
	}
	half := len(l.changes) / 2
	old := l.changes[:half]
	l.changes = slices.Clone(l.changes[half:])
	for i, key := range old {
		if r := l.rows[key]; r != nil && r.sequence == l.first+uint64(i) {
			l.changes = append(l.changes, key)
			r.sequence = l.first + uint64(half+len(l.changes)) - 1
		}
	}
	l.first += uint64(half)
}

// Batch is a part of what a ledger tells.
type Batch struct {
	Loads []Load
	Last  uint64 // sequence number of the last change in it
	First bool   // it begins with the first change that the ledger knows
	End   bool   // it ends with the newest one
}

// Since returns up to most changes after a sequence number.
func (l *Ledger) Since(now time.Time, sequence uint64, most int) Batch {
	l.update(now)
	if sequence+1 < l.first || sequence > l.last() {
		sequence = 0
	}
	b := Batch{First: sequence == 0, Last: max(sequence, l.first-1)}
	for i := b.Last + 1; i <= l.last() && len(b.Loads) < most; i++ {
		b.Last = i
		key := l.changes[i-l.first]
		if r := l.rows[key]; r != nil && r.sequence == i {
			b.Loads = append(b.Loads, Load{Service: key.service, Object: key.Object, Level: r.level})
		}
	}
	b.End = b.Last == l.last()
	return b
}
