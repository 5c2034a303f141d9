package reservation

import (
	"math"
	"time"
)

// defaultSpan is enough for some events at one of many instances, and less than a burst lasts.
const defaultSpan = time.Second

// Meter measures how often something happens.
type Meter struct {
	Span time.Duration // over which events count; 0: defaultSpan
	sum  float64       // events, each weighted by its age at the time at; 0 or more
	at   time.Time     // of the last event; zero before the first
}

// Count counts an event.
func (m *Meter) Count(now time.Time) {
	m.sum = m.weighted(now) + 1
	m.at = later(m.at, now)
}

// PerSecond returns the number of events per second.
func (m *Meter) PerSecond(now time.Time) float64 { return m.weighted(now) / m.seconds() }

func (m *Meter) weighted(now time.Time) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-max(0, now.Sub(m.at).Seconds())/m.seconds())
}

func (m *Meter) seconds() float64 {
	if m.Span == 0 {
		return defaultSpan.Seconds()
	}
	return m.Span.Seconds()
}
