package grant

import "time"

// bucketLength is the interval over which requests are counted.
const bucket = 100 * time.Millisecond

// Demand counts the requests for one destination. Its zero value is ready for
// use.
type Demand struct {
	end    time.Time // of the current bucket
	now    int       // requests in the current bucket
	before int       // requests in the bucket before it
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.roll(now)
	d.now++
}

// Want returns how many requests were counted in the last 0.1 to 0.2 s.
func (d *Demand) Want(now time.Time) int {
	d.roll(now)
	return d.now + d.before
}

func (d *Demand) roll(now time.Time) {
	switch {
	case now.Before(d.end):
		return
	case now.Before(d.end.Add(bucket)):
		d.before = d.now
		d.end = d.end.Add(bucket)
	default:
		d.before = 0
		d.end = now.Add(bucket)
	}
	d.now = 0
}
