package grant

import "time"

// bucket is the time over which requests are counted.
const bucket = 100 * time.Millisecond

// Demand counts the requests that would like to go somewhere. Its zero value is
// ready for use.
type Demand struct {
	end    time.Time // of the bucket under way
	now    int       // requests in it
	before int       // requests in the one before
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.roll(now)
	d.now++
}

// Want returns how many requests were counted lately: in the last one to two
// tenths of a second.
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
