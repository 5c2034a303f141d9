package retry

import "time"

// Classes is the number of classes of retries that a Demand distinguishes, the most useful first.
const Classes = 32

// Demand divides the retries that a Window allows among classes of requests: those that gain most
// go first. It counts how many retries each class has asked for within the length of the window.
// What the classes before it have asked for is left to them, so while all can be served, or only one
// class asks, the first to ask is the first to get one.
type Demand struct {
	length time.Duration
	start  time.Time
	slots  [windowSlots + 1]demandSlot
}

// demandSlot counts the retries within one slot of a Demand.
type demandSlot struct {
	end   time.Time // zero if the slot was never used
	asked [Classes]int
	spent [Classes]int
}

// NewDemand returns a Demand that begins now, for a Window of the same length.
func NewDemand(now time.Time, length time.Duration) *Demand {
	return &Demand{length: length, start: now}
}

// Spend takes a retry of a class from w, if w allows one that the classes before it don't
// need, and reports whether it did.
func (d *Demand) Spend(now time.Time, w *Window, class int) bool {
	class = min(Classes-1, max(0, class))
	needed, spent := 0, 0 // by the classes before, and by this one and those after it
	oldest := now.Add(-d.length)
	for i := range d.slots {
		s := &d.slots[i]
		if !s.end.After(oldest) {
			continue
		}
		for c := range Classes {
			if c < class {
				needed += s.asked[c]
			} else {
				spent += s.spent[c]
			}
		}
	}
	s := d.slot(now)
	s.asked[class]++
	if float64(needed+spent+1) > w.Usage(now).Allowed || !w.Spend(now) {
		return false
	}
	s.spent[class]++
	return true
}

// slot returns the slot of now, reset if it holds counts of an earlier time.
func (d *Demand) slot(now time.Time) *demandSlot {
	length := d.length / windowSlots
	n := max(0, now.Sub(d.start)/length)
	s := &d.slots[n%(windowSlots+1)]
	if ends := d.start.Add((n + 1) * length); s.end.Before(ends) {
		*s = demandSlot{end: ends}
	}
	return s
}
