package rush

import (
	"fmt"
	"time"
)

// OverloadResult is the result of an overload run against an instance on one processor.
type OverloadResult struct {
	Capacity        float64  // answers/s that the processor can serve, from its use under a light load
	AnswerRate      float64  // answers/s in the second half of the overload
	OverloadCallers *Callers // callers during the overload
	NormalCallers   *Callers // callers during a normal load right after it
}

func (t *OverloadResult) String() string {
	return fmt.Sprintf("%.0f answers/s of a capacity of %.0f/s; overload: %s; normal load afterwards: %s", t.AnswerRate, t.Capacity, t.OverloadCallers, t.NormalCallers)
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
func Overload(pid int, lightRate float64, newCallers func() *Callers) (*OverloadResult, error) {
	before, err := ProcessorTime(pid)
	if err != nil {
		return nil, err
	}
	newCallers().Run(lightRate, lightDuration)
	after, err := ProcessorTime(pid)
	if err != nil {
		return nil, err
	}
	t := &OverloadResult{Capacity: lightRate * lightDuration.Seconds() / (after - before).Seconds(), OverloadCallers: newCallers(), NormalCallers: newCallers()}
	t.AnswerRate = t.OverloadCallers.Run(overloadFactor*t.Capacity, phaseDuration)
	t.NormalCallers.Run(normalFactor*t.Capacity, phaseDuration)
	return t, nil
}
