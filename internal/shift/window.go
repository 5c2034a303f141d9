package shift

import "time"

// window counts the requests of one window. They are paced at one for each
// windowLength/budget, with a small burst.
type window struct {
	number     int64     // seconds since 1970 at its start
	previous   int       // admitted in the previous window
	budget     int       // budget <= previous + growth of the shares
	admitted   int       // admitted <= budget when it last increased
	pacedUntil time.Time // when the requests admitted so far would have passed at an even pace
}

func (w window) start() time.Time { return time.Unix(w.number, 0) }

func (w window) end() time.Time { return time.Unix(w.number+1, 0) }

// next returns the following window, which may exceed w by growth requests.
func (w window) next(growth int) window {
	n := window{number: w.number + 1, previous: w.admitted, budget: w.admitted + growth}
	n.pacedUntil = n.start()
	return n
}

// moveTo moves the window to another time without raising its budget.
func (w *window) moveTo(now time.Time) {
	w.number = now.Unix()
	w.pacedUntil = w.start()
}

// interval returns the time between two requests at an even pace.
func (w window) interval() time.Duration { return windowLength / time.Duration(max(w.budget, 1)) }

// due returns when the next request may be admitted. divisor is Config.Burst.
func (w window) due(now time.Time, divisor int) time.Time {
	paced := w.pacedUntil
	if paced.Before(now) {
		paced = now
	}
	burst := w.budget / divisor
	return paced.Add(-time.Duration(burst) * w.interval())
}

// fit returns how many requests may be admitted from now until just before end.
func (w window) fit(now, end time.Time, divisor int) int {
	remaining := w.budget - w.admitted
	due := w.due(now, divisor)
	if remaining <= 0 || !due.Before(end) {
		return 0
	}
	n := int((end.Sub(due)-1)/w.interval()) + 1
	return min(n, remaining)
}

// time returns when the n-th of the requests that fit may be admitted.
func (w window) time(now time.Time, n, divisor int) time.Time {
	t := w.due(now, divisor).Add(time.Duration(n-1) * w.interval())
	if t.Before(now) {
		return now
	}
	return t
}

// take counts one admitted request.
func (w *window) take(now time.Time) {
	if w.pacedUntil.Before(now) {
		w.pacedUntil = now
	}
	w.pacedUntil = w.pacedUntil.Add(w.interval())
	w.admitted++
}
