package grant

import "time"

// bucketLength is the interval over which requests are counted.
const bucketLength = 100 * time.Millisecond

// Demand counts the requests for one destination. Its zero value is ready for
// use.
type Demand struct {
	bucketEnd time.Time // of the current bucket
	current   int       // requests in the current bucket
	previous  int       // requests in the bucket before it
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.roll(now)
	d.current++
}

// Want returns how many requests were counted in the last 0.1 to 0.2 s.
func (d *Demand) Want(now time.Time) int {
	d.roll(now)
	return d.current + d.previous
}

func (d *Demand) roll(now time.Time) {
	switch {
	case now.Before(d.bucketEnd):
		return
	case now.Before(d.bucketEnd.Add(bucketLength)):
		d.previous = d.current
		d.bucketEnd = d.bucketEnd.Add(bucketLength)
	default:
		d.previous = 0
		d.bucketEnd = now.Add(bucketLength)
	}
	d.current = 0
}
