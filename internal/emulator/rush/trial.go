package rush

import (
	"fmt"
	"time"
)

// Trial is the result of an overload run against an instance on one processor.
type Trial struct {
	Capacity float64 // answers/s that the processor can serve, from its use under a light load
	Answers  float64 // answers/s in the second half of the overload
	Over     *Rush   // callers during the overload
	Usual    *Rush   // callers during a normal load right after it
}

func (t *Trial) String() string {
	return fmt.Sprintf("%.0f answers/s of a capacity of %.0f/s; overload: %s; normal load afterwards: %s", t.Answers, t.Capacity, t.Over, t.Usual)
}

const (
	lightDuration  = 2 * time.Second
	phaseDuration  = 4 * time.Second
	overloadFactor = 1.5 // of the capacity
	normalFactor   = 1.0 / 3
)

// Overload sends three loads to an instance in turn: a light one of lightRate requests/s, from
// which it computes the capacity of the instance's processor, one and a half times that
// capacity, and a normal load. newCallers returns new callers of the instance. It returns a
// *StatError if the processor time of pid can't be read.
func Overload(pid int, lightRate float64, newCallers func() *Rush) (*Trial, error) {
	before, err := ProcessorTime(pid)
	if err != nil {
		return nil, err
	}
	newCallers().Play(lightRate, lightDuration)
	after, err := ProcessorTime(pid)
	if err != nil {
		return nil, err
	}
	t := &Trial{Capacity: lightRate * lightDuration.Seconds() / (after - before).Seconds(), Over: newCallers(), Usual: newCallers()}
	t.Answers = t.Over.Play(overloadFactor*t.Capacity, phaseDuration)
	t.Usual.Play(normalFactor*t.Capacity, phaseDuration)
	return t, nil
}
