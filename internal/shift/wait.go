package shift

import "time"

// Action is what to do with a shifted request.
type Action int

// Actions of a Verdict.
const (
	Serve  Action = iota // admit it now
	Queue                // keep it until Verdict.At, in the order of the queue
	Refuse               // answer not-run; the caller may retry at Verdict.At
)

// String returns the name of the action in log lines.
func (a Action) String() string {
	switch a {
	case Serve:
		return "serve"
	case Queue:
		return "queue"
	default:
		return "refuse"
	}
}

// Verdict is the decision about a shifted request. The request isn't counted
// before Admit.
type Verdict struct {
	Action Action
	At     time.Time // when the cap admits it; zero if it never does
}

// Decide decides about a shifted request that must start before deadline, with
// the given number of shifted requests queued ahead of it. A request that the
// cap can't admit in time is refused at once, while the caller can still go
// elsewhere.
func (r *Ramp) Decide(now, deadline time.Time, ahead int) Verdict {
	at := r.admitAt(now, ahead+1)
	switch {
	case at.IsZero():
		return Verdict{Action: Refuse}
	case !at.Before(deadline):
		return Verdict{Action: Refuse, At: at}
	case ahead == 0 && r.Free(now) > 0:
		return Verdict{Action: Serve, At: at}
	default:
		return Verdict{Action: Queue, At: at}
	}
}
