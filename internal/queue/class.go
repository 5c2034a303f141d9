package queue

import "github.com/firlever/firlever/pkg/settings"

// Way describes where an item may be served. Together with the service it
// determines whether the item could start now.
type Way struct {
	Shifted bool // its caller's home is another place, so the shift cap applies
	Bound   bool // only targets that this instance owns may serve it
}

// Can reports whether a request of a service could start now.
type Can func(service settings.ServiceID, way Way) bool

// laneCount is the number of lanes of a service.
const ways = 4

// laneIndex returns the index of the lane for w.
func (w Way) lane() int {
	n := 0
	if w.Shifted {
		n++
	}
	if w.Bound {
		n += 2
	}
	return n
}

// serviceQueue holds the waiting items of one service in one class. Items that
// may be served in different ways are in different lanes, so that a blocked lane
// doesn't hold up the others.
type line struct {
	service settings.ServiceID
	lanes   [ways]lane
	n       int // items in all lanes
}

func newLine(service settings.ServiceID) *line {
	l := &line{service: service}
	for i := range l.lanes {
		l.lanes[i].line = l
	}
	return l
}

func (l *line) lane(w Way) *lane { return &l.lanes[w.lane()] }

// first returns the oldest item that could start now, or nil.
func (l *line) first(can Can) *entry {
	var oldest *entry
	for i := range l.lanes {
		e := l.lanes[i].head
		if e == nil || oldest != nil && oldest.seq < e.seq {
			continue
		}
		if can(l.service, e.item.Way) {
			oldest = e
		}
	}
	return oldest
}

// teamQueue holds the service queues of one team in one class.
type group struct {
	team    string
	lines   ring[*line] // those with items
	deficit float64     // pops left to the team in its turn
	granted bool        // whether this turn's quantum has been added
}

// first returns the next item of the team that could start now, or nil.
func (g *group) first(can Can) *entry {
	for range g.lines.len() {
		if e := g.lines.at().first(can); e != nil {
			return e
		}
		g.lines.advance()
	}
	return nil
}

// class shares its pops among teams by deficit round robin.
type class struct {
	lines  map[settings.ServiceID]*line // those with items
	groups map[string]*group            // those with items
	turns  ring[*group]                 // the same groups, in the order of their turns
}

func newClass() *class {
	return &class{
		lines:  make(map[settings.ServiceID]*line),
		groups: make(map[string]*group),
	}
}

func (c *class) waiting(service settings.ServiceID) int {
	if l := c.lines[service]; l != nil {
		return l.n
	}
	return 0
}

func (c *class) add(e *entry) {
	id := e.item.Service
	l := c.lines[id]
	if l == nil {
		l = newLine(id)
		c.lines[id] = l
		c.group(id.Team).lines.add(l)
	}
	l.lane(e.item.Way).push(e)
	l.n++
}

func (c *class) group(team string) *group {
	g := c.groups[team]
	if g == nil {
		g = &group{team: team}
		c.groups[team] = g
		c.turns.add(g)
	}
	return g
}

func (c *class) remove(e *entry) {
	l := e.lane.line
	e.lane.remove(e)
	l.n--
	if l.n > 0 {
		return
	}
	delete(c.lines, l.service)
	g := c.groups[l.service.Team]
	g.lines.remove(l)
	if g.lines.len() == 0 {
		delete(c.groups, g.team)
		c.turns.remove(g)
	}
}

// pop removes the next item that could start now, or returns nil. A team whose
// service queues are all blocked loses its turn.
func (c *class) pop(can Can, share func(team string) int) *entry {
	for range c.turns.len() {
		g := c.turns.at()
		if !g.granted {
			g.granted = true
			g.deficit += c.quantum(g, share)
		}
		e := g.first(can)
		if e == nil {
			g.deficit = 0
			c.endTurn(g)
			continue
		}
		g.deficit--
		g.lines.advance()
		if g.deficit < 1 {
			c.endTurn(g)
		}
		c.remove(e)
		return e
	}
	return nil
}

func (c *class) endTurn(g *group) {
	g.granted = false
	c.turns.advance()
}

// quantum returns the pops of a turn: the team's share divided by the least share
// of the waiting teams, so at least 1.
func (c *class) quantum(g *group, share func(team string) int) float64 {
	own := share(g.team)
	least := own
	for _, other := range c.turns.all() {
		least = min(least, share(other.team))
	}
	return float64(own) / float64(least)
}
