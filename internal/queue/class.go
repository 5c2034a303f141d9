package queue

import "github.com/firlever/firlever/pkg/settings"

// Placement describes where an item may be served. Together with the service it
// determines whether the item could start now.
type Placement struct {
	Shifted        bool // its caller's home is another place, so the shift cap applies
	OwnTargetsOnly bool // only targets that this instance owns may serve it
}

// CanStart reports whether a request of a service could start now.
type CanStart func(service settings.ServiceID, way Placement) bool

// laneCount is the number of lanes of a service, one for each laneIndex.
const laneCount = 4

// laneIndex returns the index of the lane for w.
func (w Placement) laneIndex() int {
	n := 0
	if w.Shifted {
		n++
	}
	if w.OwnTargetsOnly {
		n += 2
	}
	return n
}

// serviceQueue holds the waiting items of one service in one class. Items that
// may be served in different ways are in different lanes, so that a blocked lane
// doesn't hold up the others.
type serviceQueue struct {
	service settings.ServiceID
	lanes   [laneCount]lane
	n       int // items in all lanes
}

func newServiceQueue(service settings.ServiceID) *serviceQueue {
	s := &serviceQueue{service: service}
	for i := range s.lanes {
		s.lanes[i].queue = s
	}
	return s
}

func (s *serviceQueue) lane(w Placement) *lane { return &s.lanes[w.laneIndex()] }

// first returns the oldest item that could start now, or nil.
func (s *serviceQueue) first(can CanStart) *entry {
	var oldest *entry
	for i := range s.lanes {
		e := s.lanes[i].head
		if e == nil || oldest != nil && oldest.seq < e.seq {
			continue
		}
		if can(s.service, e.item.Placement) {
			oldest = e
		}
	}
	return oldest
}

// teamQueue holds the service queues of one team in one class.
type teamQueue struct {
	team         string
	queues       ring[*serviceQueue] // those with items
	deficit      float64             // pops left to the team in its turn
	quantumAdded bool                // whether this turn's quantum has been added
}

// first returns the next item of the team that could start now, or nil.
func (t *teamQueue) first(can CanStart) *entry {
	for range t.queues.len() {
		if e := t.queues.current().first(can); e != nil {
			return e
		}
		t.queues.advance()
	}
	return nil
}

// class divides its pops among teams by deficit round robin.
type class struct {
	services map[settings.ServiceID]*serviceQueue // those with items
	teams    map[string]*teamQueue                // those with items
	turns    ring[*teamQueue]                     // the same queues, in the order of their turns
}

func newClass() *class {
	return &class{
		services: make(map[settings.ServiceID]*serviceQueue),
		teams:    make(map[string]*teamQueue),
	}
}

func (c *class) waiting(service settings.ServiceID) int {
	if s := c.services[service]; s != nil {
		return s.n
	}
	return 0
}

func (c *class) add(e *entry) {
	id := e.item.Service
	s := c.services[id]
	if s == nil {
		s = newServiceQueue(id)
		c.services[id] = s
		c.team(id.Team).queues.add(s)
	}
	s.lane(e.item.Placement).push(e)
	s.n++
}

func (c *class) team(team string) *teamQueue {
	t := c.teams[team]
	if t == nil {
		t = &teamQueue{team: team}
		c.teams[team] = t
		c.turns.add(t)
	}
	return t
}

func (c *class) remove(e *entry) {
	s := e.lane.queue
	e.lane.remove(e)
	s.n--
	if s.n > 0 {
		return
	}
	delete(c.services, s.service)
	t := c.teams[s.service.Team]
	t.queues.remove(s)
	if t.queues.len() == 0 {
		delete(c.teams, t.team)
		c.turns.remove(t)
	}
}

// pop removes the next item that could start now, or returns nil. A team whose
// service queues are all blocked loses its turn.
func (c *class) pop(can CanStart, weight func(team string) int) *entry {
	for range c.turns.len() {
		t := c.turns.current()
		if !t.quantumAdded {
			t.quantumAdded = true
			t.deficit += c.quantum(t, weight)
		}
		e := t.first(can)
		if e == nil {
			t.deficit = 0
			c.endTurn(t)
			continue
		}
		t.deficit--
		t.queues.advance()
		if t.deficit < 1 {
			c.endTurn(t)
		}
		c.remove(e)
		return e
	}
	return nil
}

func (c *class) endTurn(t *teamQueue) {
	t.quantumAdded = false
	c.turns.advance()
}

// quantum returns the pops of a turn: the team's weight divided by the least
// weight of the waiting teams, so at least 1.
func (c *class) quantum(t *teamQueue, weight func(team string) int) float64 {
	own := weight(t.team)
	least := own
	for _, other := range c.turns.all() {
		least = min(least, weight(other.team))
	}
	return float64(own) / float64(least)
}
