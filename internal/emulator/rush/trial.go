package rush

import (
	"fmt"
	"time"
)

// Trial is how an instance on one processor fared with more than that can do.
type Trial struct {
	Capacity float64 // answers a second that the processor can do, by what a light load took
	Answers  float64 // a second, in the second half of the overload
	Over     *Rush   // callers of the overload
	Usual    *Rush   // callers of a usual load right after it
}

func (t *Trial) String() string {
	return fmt.Sprintf("%.0f answers a second of %.0f that the processor can do; %s; afterwards: %s", t.Answers, t.Capacity, t.Over, t.Usual)
}

const (
	lightDuration  = 2 * time.Second
	phaseDuration  = 4 * time.Second
	overloadFactor = 1.5 // of the capacity
	normalFactor   = 1.0 / 3
)

// Overload sends a light load of so many requests a second to an instance, half as much again
// as its processor can do, and a usual load. crowd makes new callers of it. It returns a
// *StatError.
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
