package pace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestSendTimes(t *testing.T) {
	tests := map[string]struct {
		rate   int64
		before []int // bytes reserved at the start
		later  time.Duration
		want   time.Duration // after the start
	}{
		"no limit":       {0, []int{1 << 30}, 0, 0},
		"free":           {1000, nil, 0, 0},
		"behind another": {1000, []int{500}, 0, 500 * time.Millisecond},
		"behind two":     {1000, []int{500, 1000}, 0, 1500 * time.Millisecond},
		"idle since":     {1000, []int{500}, time.Hour, time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l Link
			l.SetRate(start, tt.rate)
			for _, n := range tt.before {
				l.Reserve(start, n)
			}
			if got := l.Reserve(start.Add(tt.later), 1).Sub(start); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSetRateKeepsReservedBytes(t *testing.T) {
	tests := map[string]struct {
		rate int64
		want time.Duration
	}{
		"same":    {1000, time.Second},
		"faster":  {2000, time.Second / 2},
		"slower":  {500, 2 * time.Second},
		"lifted":  {0, 0},
		"garbage": {-1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l Link
			l.SetRate(start, 1000)
			l.Reserve(start, 1000)
			l.SetRate(start, tt.rate)
			if got := l.Reserve(start, 1).Sub(start); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestRateHolds reserves chunks at random times: no time window holds more than the
// rate allows plus one chunk.
func TestRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Link
		rate := rapid.Int64Range(100, 1<<24).Draw(t, "rate")
		l.SetRate(start, rate)
		chunk := l.ChunkSize(32 << 10)
		now := start
		var times []time.Time // of each chunk
		for range rapid.IntRange(1, 100).Draw(t, "chunks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			at := l.Reserve(now, chunk)
			if at.Before(now) {
				t.Fatalf("got %v, want no time before now", at)
			}
			times = append(times, at)
			for i, since := range times {
				sent := float64((len(times) - i) * chunk)
				if allowed := float64(rate)*at.Sub(since).Seconds() + float64(chunk); sent > allowed+1 {
					t.Fatalf("got %v bytes in %v, want at most %v", sent, at.Sub(since), allowed)
				}
			}
		}
	})
}
