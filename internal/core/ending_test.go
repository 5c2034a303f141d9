package core_test

import (
	"time"

	"github.com/firlever/firlever/internal/core"
)

// kill ends the process at once. Either its connections close, or the other ends don't
// notice.
func (p *proc) kill() {
	if p.dead {
		return
	}
	p.dead = true
	p.w.live[p.name] = nil
	p.w.check.processEnded(p)
	p.w.tracef("%s dies", p)
	closed := p.w.chance(0.6)
	for id := core.ID(1); id <= p.lastID; id++ {
		x := p.exchanges[id]
		if x == nil || !closed {
			continue
		}
		if x.attempt != nil && !x.attempt.over {
			x.attempt.over = true
			x.attempt.drop()
		}
		x.reply(answer{kind: core.Failed, reason: "connection lost"})
	}
}

func (p *proc) pause() { p.paused = true }

// resume resumes a paused process, which handles all events that arrived meanwhile at the
// present time of its clock.
func (p *proc) resume() {
	if p.dead || !p.paused {
		return
	}
	p.paused, p.lastImpeded = false, p.w.now
	p.w.tracef("%s resumes with %d events", p, len(p.inbox))
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		p.deliver(do)
	}
}

// stop performs a planned stop as a shell does.
func (p *proc) stop() {
	if p.dead || p.leaving {
		return
	}
	p.leaving = true
	p.w.tracef("%s begins a planned stop", p)
	p.step(core.Stopping{})
	p.after(lingerFor, p.stopWhenIdle)
}

func (p *proc) stopWhenIdle() {
	if !p.node.Idle() {
		p.after(20*time.Millisecond, p.stopWhenIdle)
		return
	}
	p.w.check.stopped(p)
	p.kill()
	p.w.counts["stops"]++
	p.w.after(p.w.between(100*time.Millisecond, 3*time.Second), func() { p.w.start(p.name) })
}
