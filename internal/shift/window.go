package shift

import "time"

// window counts the requests of one window. They are paced at one for each
// windowLength/budget, with a small burst.
type win struct {
	number   int64     // Unix time of its start, in seconds
	before   int       // admitted in the previous window
	budget   int       // budget <= previous + growth of the shares
	admitted int       // admitted <= budget when it last increased
	paced    time.Time // when the requests admitted so far would have passed at an even pace
}

func (w win) start() time.Time { return time.Unix(w.number, 0) }

func (w win) end() time.Time { return time.Unix(w.number+1, 0) }

// next returns the following window, which may exceed w by growth requests.
func (w win) next(units int) win {
	n := win{number: w.number + 1, before: w.admitted, budget: w.admitted + units}
	n.paced = n.start()
	return n
}

// moveTo moves the window to another time without raising its budget.
func (w *win) move(now time.Time) {
	w.number = now.Unix()
	w.paced = w.start()
}

// interval returns the time between two requests at an even pace.
func (w win) gap() time.Duration { return window / time.Duration(max(w.budget, 1)) }

// due returns when the next request may be admitted. divisor is Config.Burst.
func (w win) due(now time.Time, part int) time.Time {
	paced := w.paced
	if paced.Before(now) {
		paced = now
	}
	burst := w.budget / part
	return paced.Add(-time.Duration(burst) * w.gap())
}

// fit returns how many requests may be admitted from now until just before end.
func (w win) fit(now, end time.Time, part int) int {
	left := w.budget - w.admitted
	due := w.due(now, part)
	if left <= 0 || !due.Before(end) {
		return 0
	}
	n := int((end.Sub(due)-1)/w.gap()) + 1
	return min(n, left)
}

// time returns when the n-th of the requests that fit may be admitted.
func (w win) time(now time.Time, n, part int) time.Time {
	t := w.due(now, part).Add(time.Duration(n-1) * w.gap())
	if t.Before(now) {
		return now
	}
	return t
}

// take counts one admitted request.
func (w *win) take(now time.Time) {
	if w.paced.Before(now) {
		w.paced = now
	}
	w.paced = w.paced.Add(w.gap())
	w.admitted++
}
