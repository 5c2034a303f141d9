package workingset

// Service is what a plan is made from.
type Service struct {
	Estimate
	Targets int   // that may get requests
	Homes   int   // of each object where nothing is restricted
	Heats   Heats // of the objects in use
}

// Plan says how many homes the objects of a service may have. The zero Plan restricts nothing.
//
// Plans of instances that know slightly different loads differ in few objects: an object with
// fewer homes keeps the first ones of its order, and overflow targets are the first ones in an
// order of all targets.
type Plan struct {
	restricted bool
	kept       mark // objects above have homes that keep them warm, the others go to overflow targets
	more       mark // objects above have a home more than others that are kept warm
	homes      int  // of an object that is kept warm, unless its load needs more; 1 or more
	overflow   int  // number of overflow targets; 0 if all objects are above kept
	needed     int  // objects that targets would have to keep, over all targets
	room       int  // objects that they keep
	maxLoad    float64
}

const (
	// releaseShare is the part of the room that has to suffice before restrictions end.
	releaseShare = 0.9
	// overflowSteps is into how many steps the targets are divided, of which a plan changes one at
	// most from the plan before.
	overflowSteps = 16
	// overflowGain is by which factor a plan has to be better than the one before to replace it.
	overflowGain = 1.15
	// nearlyMost is by which factor more may be served with more overflow targets: with few, what is
	// kept warm does not depend on the load.
	nearlyMost = 1.1
	// coldWeight is what an answer of a cold run counts against one of a warm run: it mostly comes
	// after the objective, and still serves its caller.
	coldWeight = 0.2
)

// MakePlan makes a plan that follows the plan before. Where what is in use fits, or where it is not
// known what targets keep, nothing is restricted.
func MakePlan(cfg Config, s Service, before Plan) Plan {
	cfg.Defaults()
	p := Plan{homes: max(1, s.Homes), kept: allAbove, more: noneAbove, maxLoad: cfg.MaxLoad}
	p.room = int(cfg.Fill * float64(s.Keeps) * float64(s.Targets))
	p.needed = s.Heats.places(p.homes, cfg.MaxLoad)
	limit := float64(p.room)
	if before.restricted {
		limit *= releaseShare
	}
	if !s.Known() || s.Targets == 0 || float64(p.needed) <= limit {
		return p
	}
	p.restricted = true
	for p.homes > 1 && s.Heats.places(p.homes, cfg.MaxLoad) > p.room {
		p.homes--
	}
	if left := p.room - s.Heats.places(p.homes, cfg.MaxLoad); left >= 0 {
		p.more = p.moreHomes(&s.Heats, float64(left))
		if p.homes == before.homes {
			p.more = p.more.steady(before.more)
		}
		return p
	}
	p.overflow = chooseOverflow(cfg, &s, before)
	p.kept = split(cfg, &s, p.overflow).kept.steady(before.kept)
	return p
}

// moreHomes returns the mark above which objects have a home more if places are left for so many.
func (p *Plan) moreHomes(h *Heats, left float64) mark {
	groups := h.groups(p.homes, p.maxLoad)
	for i := len(groups) - 1; i >= 0; i-- {
		if n := groups[i].more; n > left {
			return markOf(i, left/n)
		}
		left -= groups[i].more
	}
	return allAbove
}

// chooseOverflow returns the least number of overflow targets with which nearly as much is served
// as can be, and follows the plan before in small steps.
func chooseOverflow(cfg Config, s *Service, before Plan) int {
	step := max(1, s.Targets/overflowSteps)
	served := func(n int) float64 {
		d := split(cfg, s, n)
		return d.served(cfg, s, n)
	}
	most := served(s.Targets)
	for n := step; n < s.Targets; n += step {
		most = max(most, served(n))
	}
	last := min(before.overflow, s.Targets)
	if last > 0 && most < overflowGain*served(last) {
		return last
	}
	best := min(step, s.Targets)
	for best < s.Targets && served(best)*nearlyMost < most {
		best = min(best+step, s.Targets)
	}
	if last > 0 {
		best = min(max(best, last-step), last+step)
	}
	return best
}

// division is how objects are divided between the overflow targets and the others.
type division struct {
	kept    mark
	warm    float64 // load of the objects that are kept warm
	rest    float64 // load of the others
	objects float64 // number of the others
}

// split keeps as many of the hottest objects warm as fit with so many overflow targets.
func split(cfg Config, s *Service, overflow int) division {
	room := cfg.Fill * float64(s.Keeps) * float64(s.Targets-overflow)
	d := division{kept: noneAbove}
	groups := s.Heats.groups(1, cfg.MaxLoad)
	for i := len(groups) - 1; i >= 0; i-- {
		g := &groups[i]
		if g.objects == 0 {
			continue
		}
		share := min(1, room/g.least)
		if share > 0 {
			d.kept = markOf(i, share)
		}
		room = max(0, room-g.least)
		d.warm += share * g.load
		d.rest += (1 - share) * g.load
		d.objects += (1 - share) * g.objects
	}
	return d
}

// served returns how many requests are served, as load of warm runs, with those that run cold
// weighted.
func (d *division) served(cfg Config, s *Service, overflow int) float64 {
	warm := min(d.warm, cfg.MaxLoad*float64(s.Targets-overflow))
	if d.objects == 0 {
		return warm
	}
	hits := min(1, float64(overflow*s.Keeps)/d.objects)
	cost := hits + (1-hits)*max(1, s.ColdFactor)
	rest := min(d.rest, cfg.MaxLoad*float64(overflow)/cost)
	return warm + rest*(hits+(1-hits)*coldWeight)
}

// Place is where an object may live. The zero Place is that of a new object.
type Place struct {
	Homes    int  // number of homes; 0 if not restricted
	Overflow bool // whether its homes are overflow targets only; else they are none of them

	bucket int // of its load; meaningless if Homes is 0
}

// heat returns the bucket of a load; the one before unless the load has clearly left it, as counts
// of an object's requests vary.
func (p Place) heat(load float64) int {
	if b := heatBucket(load); p.Homes == 0 || b < p.bucket-1 || b > p.bucket+1 {
		return b
	}
	return p.bucket
}

// Place returns where an object of a load may live that lived at a place before. The heats that the
// plan was made from must have the object with the same load and place.
func (p *Plan) Place(object uint64, load float64, before Place) Place {
	if !p.restricted {
		return Place{}
	}
	next := Place{Homes: max(p.homes, heat{1, load}.needs(p.maxLoad)), bucket: before.heat(load)}
	switch {
	case !p.kept.above(object, next.bucket):
		next.Homes, next.Overflow = 1, true
	case p.more.above(object, next.bucket):
		next.Homes = max(next.Homes, p.homes+1)
	}
	return next
}

// Restricted reports whether the plan restricts homes.
func (p *Plan) Restricted() bool { return p.restricted }

// Homes returns how many homes an object has that is kept warm, unless its load needs more.
func (p *Plan) Homes() int { return p.homes }

// Overflow returns the number of overflow targets.
func (p *Plan) Overflow() int { return p.overflow }

// Needed returns how many objects targets would have to keep so that nothing need be restricted,
// over all targets.
func (p *Plan) Needed() int { return p.needed }

// Room returns how many objects targets keep, over all targets.
func (p *Plan) Room() int { return p.room }
