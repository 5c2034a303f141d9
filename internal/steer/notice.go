package steer

import (
	"maps"
	"time"
)

// Notice is what a target says in an answer of the requests that it wants.
type Notice struct {
	Leaving bool          // it leaves, and wants no new ones
	Limit   float64       // requests a second that it takes from all instances together; 0 or more
	Limited bool          // Limit is set
	Rest    time.Duration // it wants none from this instance for so long; 0 if not said
	Success bool          // the answer is a success: without a limit in it there is none
}

// says reports whether there is anything in the notice.
func (n Notice) says() bool { return n.Leaving || n.Limited || n.Rest > 0 }

// News is what a notice changes of what was known.
type News string

// The news.
const (
	Leaves    News = "leaves"
	Limits    News = "limits"     // it names a limit, or another one than before
	LimitOver News = "limit-over" // it names none any more
	Rests     News = "rests"
)

// noticeLife is how long what a target said is remembered when its entry is gone: that may
// come back, of the same run and with an older state, when the store does.
const noticeLife = 10 * time.Minute

// run tells the runs of a target apart.
type run struct {
	id      string
	started int64 // in Unix nanoseconds
}

func runOf(t *Target) run { return run{id: t.ID, started: t.Started.UnixNano()} }

// wishes is what a run of a target has said of the requests that it wants.
type wishes struct {
	leaving  bool      // for good: the next run is another one
	restEnds time.Time // it gets nothing before
	limit    limit
	until    time.Time // remembered so long without its entry
}

// Notice takes in what a target said in an answer to a request that was sent at a time.
func (f *Fleet) Notice(now time.Time, of Target, sent time.Time, n Notice) []News {
	key := runOf(&of)
	w := f.wishes[key]
	if w == nil {
		if !n.says() {
			return nil
		}
		w = &wishes{}
		f.wishes[key] = w
		if t, ok := f.targets[of.ID]; ok && runOf(&t.Target) == key {
			t.wishes = w
		}
		maps.DeleteFunc(f.wishes, func(_ run, w *wishes) bool { return w != f.wishes[key] && !now.Before(w.until) })
	}
	w.until = now.Add(noticeLife)
	return w.take(now, sent, n)
}

// take takes in a notice, and returns what it changes.
func (w *wishes) take(now, sent time.Time, n Notice) []News {
	var news []News
	if n.Leaving && !w.leaving {
		w.leaving = true
		news = append(news, Leaves)
	}
	if n.Rest > 0 {
		if !now.Before(w.restEnds) {
			news = append(news, Rests)
		}
		w.restEnds = later(w.restEnds, now.Add(n.Rest))
	}
	switch {
	case n.Limited:
		if !w.limit.named || w.limit.rate != n.Limit {
			news = append(news, Limits)
		}
		w.limit.name(now, n.Limit)
	case n.Success && w.limit.named && sent.After(w.limit.heard):
		w.limit = limit{}
		news = append(news, LimitOver)
	}
	return news
}
