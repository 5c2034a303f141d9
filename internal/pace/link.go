// Package pace limits the rate of bulk transfers, so that they leave bandwidth for
// other traffic on a limited link. It does no I/O and is not safe for concurrent
// use.
package pace

import "time"

// chunksPerSecond bounds the size of a chunk: one occupies the link for at most a
// 20th of a second, as others wait behind it for that long.
const chunksPerSecond = 20

// minChunkSize is the minimum size of a chunk in bytes. The overhead of smaller ones
// outweighs their benefit.
const minChunkSize = 1 << 10

// Link paces one sender's share of a link. Transfers reserve one chunk at a time,
// so that they share the rate equally.
type Link struct {
	rate   int64     // bytes/s; 0 means no limit
	freeAt time.Time // when all bytes reserved so far are sent
}

// SetRate changes the rate, in bytes/s; 0 or less means no limit. Bytes that are
// reserved but not yet sent go at the new rate.
func (l *Link) SetRate(now time.Time, rate int64) {
	rate = max(rate, 0)
	if rate == l.rate {
		return
	}
	left := l.freeAt.Sub(now)
	if l.rate > 0 && rate > 0 && left > 0 {
		l.freeAt = now.Add(time.Duration(float64(left) * float64(l.rate) / float64(rate)))
	} else {
		l.freeAt = now
	}
	l.rate = rate
}

// Reserve reserves n bytes and returns when they may be sent: now if the link is free.
// Idle time earns no credit: any time window holds at most what the rate allows
// plus one chunk.
func (l *Link) Reserve(now time.Time, n int) time.Time {
	if l.rate == 0 {
		return now
	}
	at := now
	if l.freeAt.After(now) {
		at = l.freeAt
	}
	l.freeAt = at.Add(time.Duration(float64(n) / float64(l.rate) * float64(time.Second)))
	return at
}

// ChunkSize returns the number of bytes to reserve at a time, no more than maxBytes.
func (l *Link) ChunkSize(maxBytes int) int {
	if l.rate == 0 {
		return maxBytes
	}
	return min(maxBytes, max(int(min(l.rate/chunksPerSecond, int64(maxBytes))), minChunkSize))
}
