package shift

import "time"

// Action is what becomes of a shifted request.
type Action int

// The actions.
const (
	Serve  Action = iota // admit it now
	Queue                // keep it until Verdict.At, in the order of the queue
	Refuse               // answer not-run; the caller may come back at Verdict.At
)

// String names the action in log lines.
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

// Verdict is what to do with a shifted request. Its request isn't counted
// before Admit.
type Verdict struct {
	Action Action
	At     time.Time // when the cap lets it pass; zero when it never does
}

// Wait decides about a shifted request which must start before deadline, with
// so many shifted requests queued ahead of it. A request that the cap can't
// let pass in time is refused at once, while the caller can still go elsewhere.
func (r *Ramp) Wait(now, deadline time.Time, ahead int) Verdict {
	at := r.at(now, ahead+1)
	switch {
	case at.IsZero():
		return Verdict{Action: Refuse}
	case !at.Before(deadline):
		return Verdict{Action: Refuse, At: at}
	case ahead == 0 && r.Room(now) > 0:
		return Verdict{Action: Serve, At: at}
	default:
		return Verdict{Action: Queue, At: at}
	}
}
