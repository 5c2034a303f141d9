// Package pace spreads the bytes of bulk transfers over time, so that they
// leave room on a limited link. It does no input or output and is not safe for
// concurrent use.
package pace

import "time"

// chunksPerSecond is the part of a second that one chunk may fill the link for:
// others wait behind it for that long.
const chunksPerSecond = 20

// minChunkSize is the smallest chunk in bytes: below it the cost of each outgrows
// its use.
const minChunkSize = 1 << 10

// Link is one sender's share of a link. Each transfer takes its turn with one
// chunk at a time, so that all of them get on alike.
type Link struct {
	rate   int64     // bytes/s; 0 sets no limit
	freeAt time.Time // when all the bytes taken so far have left
}

// SetRate changes the share, in bytes/s; 0 or less sets no limit. Bytes that
// were taken but have not left go at the new rate.
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

// Take reserves n bytes and returns when they may be sent: at once if the link
// is free. Idle time is not saved up, so that in any window no more goes out
// than the rate allows and one chunk.
func (l *Link) Take(now time.Time, n int) time.Time {
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

// Chunk is how many bytes to take at a time, at most most.
func (l *Link) Chunk(most int) int {
	if l.rate == 0 {
		return most
	}
	return min(most, max(int(min(l.rate/chunksPerSecond, int64(most))), minChunkSize))
}
