package kv

import (
	"sort"
	"time"

	"github.com/firlever/firlever/internal/platform"
)

// line is one instance in the list.
type line struct {
	shown   *platform.Instance // nil until the first registration shows
	pending []update           // ascending deadlines, and incarnations that never go back
	gone    time.Time          // when the line leaves the list
}

type update struct {
	at time.Time // when it shows
	in platform.Instance
}

// latest returns what was registered last; a line has at least one of both.
func (l *line) latest() platform.Instance {
	if n := len(l.pending); n > 0 {
		return l.pending[n-1].in
	}
	return *l.shown
}

// settle shows what is due.
func (l *line) settle(now time.Time) {
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		l.shown = &l.pending[0].in
		l.pending = l.pending[1:]
	}
}

// Register renews an instance's line. What changed in it shows after ShowLag;
// an older incarnation changes nothing.
func (s *Service) Register(in platform.Instance, now time.Time) error {
	if in.ID == "" || len(in.ID) > platform.MaxPath {
		return &platform.InvalidError{Call: "Register", Reason: "ID missing or too long"}
	}
	l := s.lines[in.ID]
	if l == nil || !now.Before(l.gone) {
		l = &line{pending: []update{{at: now.Add(s.cfg.ShowLag), in: in}}}
		s.lines[in.ID] = l
	}
	l.settle(now)
	if in.Incarnation < l.latest().Incarnation {
		return nil
	}
	if in != l.latest() {
		l.pending = append(l.pending, update{at: now.Add(s.cfg.ShowLag), in: in})
	}
	l.gone = now.Add(s.cfg.GoneLag)
	return nil
}

// Instances returns the list by ID, as it shows now.
func (s *Service) Instances(now time.Time) []platform.Instance {
	var list []platform.Instance
	for id, l := range s.lines {
		if !now.Before(l.gone) {
			delete(s.lines, id)
			continue
		}
		l.settle(now)
		if l.shown != nil {
			list = append(list, *l.shown)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
