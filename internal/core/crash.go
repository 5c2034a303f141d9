package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/crash"
	"github.com/firlever/firlever/internal/owner"
)

const (
	// evidenceTime is how long a target's end is remembered.
	evidenceTime = 10 * time.Minute
	// toldAnswer is how many targets have to have ended under a request until its answer
	// is told to others: one end more would come near to holding it back.
	toldAnswer = 2
	// otherEntries is how many instances of each other place are told, which tell the rest
	// of theirs: one of them may die.
	otherEntries = 2
)

// endings is what the node knows of requests that end targets.
type endings struct {
	book     *crash.Book
	recent   crash.Recent
	breaches map[owner.TargetKey]*breach
	told     []remembered // reports of the book, by when they are forgotten
	number   int          // of this instance's last report
}

// breach is the requests whose attempts a target broke off, until it is known whether that
// has ended.
type breach struct {
	at     time.Time // of the first
	prints []crash.Print
}

// remembered is a report that is kept until a time.
type remembered struct {
	until  time.Time
	report CrashReport
}

// CrashReport tells of a target that ended, under a key that no other report has.
type CrashReport struct {
	Key string `json:"key"`
	crash.Report
}

// TellCrashes tells peers of targets that ended, and of requests that were answered since.
type TellCrashes struct {
	Peers []Peer
	News  CrashNews
}

// CrashNews is what one instance tells another.
type CrashNews struct {
	Place    string        `json:"place"` // of who tells it; empty if it need not be passed on
	Reports  []CrashReport `json:"reports"`
	Answered []crash.Print `json:"answered"`
}

// CrashesHeard brings what a peer tells.
type CrashesHeard struct{ News CrashNews }

func (TellCrashes) decision() {}
func (CrashesHeard) event()   {}

func newEndings() endings {
	return endings{book: crash.NewBook(), breaches: make(map[owner.TargetKey]*breach)}
}

// endsTargets refuses a request that ends the targets which run it, whichever way it came.
// It returns false if it is none.
func (n *Node) endsTargets(now time.Time, f *flight) bool {
	if n.endings.book.Guilty()[f.req.Sent] == 0 {
		return false
	}
	f.sooner(now.Add(evidenceTime))
	n.refuse(now, f, ReasonEndsTargets)
	return true
}

// broke notes that a target broke an attempt off, and asks whether it is still there.
func (n *Node) broke(now time.Time, f *flight) {
	if n.endings.recent.Has(now, f.req.Sent) {
		return
	}
	b := n.endings.breaches[f.target]
	if b == nil {
		b = &breach{at: now}
		n.endings.breaches[f.target] = b
	}
	if !slices.Contains(b.prints, f.req.Sent) {
		b.prints = append(b.prints, f.req.Sent)
	}
	n.decide(Probe{Target: f.target, Address: n.address[f.target], Asked: now, Look: true})
}

// lookedAt takes in whether a target that broke attempts off was still there when it was
// asked. What breaks later is another breach.
func (n *Node) lookedAt(now time.Time, ev Probed) {
	b := n.endings.breaches[ev.Target]
	if b == nil || ev.Asked.Before(b.at) || ev.Err && !ev.Refused {
		return
	}
	delete(n.endings.breaches, ev.Target)
	if !ev.Refused {
		return
	}
	e := &n.endings
	e.number++
	name := fmt.Sprintf("%s/%d-%d", n.cfg.Instance, n.cfg.Incarnation, e.number)
	r := CrashReport{Key: name, Report: crash.Report{Target: ev.Target.Service.String() + "/" + ev.Target.Name + "@" + name, Prints: b.prints}}
	n.remember(now, r)
	n.tellAll(CrashNews{Place: n.cfg.Place, Reports: []CrashReport{r}})
}

// remember puts a report into the book. It returns false if that has it.
func (n *Node) remember(now time.Time, r CrashReport) bool {
	e := &n.endings
	if slices.ContainsFunc(e.told, func(m remembered) bool { return m.report.Key == r.Key }) {
		return false
	}
	e.book.Put(r.Key, crash.Unwritten, r.Report)
	e.told = append(e.told, remembered{until: now.Add(evidenceTime), report: r})
	if len(e.told) > crash.MostReports {
		n.forgetFirst()
	}
	return true
}

func (n *Node) forgetFirst() {
	e := &n.endings
	e.book.Remove(e.told[0].report.Key)
	e.told = e.told[1:]
}

// forgetCrashes forgets what is old.
func (n *Node) forgetCrashes(now time.Time) {
	e := &n.endings
	for len(e.told) > 0 && !now.Before(e.told[0].until) {
		n.forgetFirst()
	}
	maps.DeleteFunc(e.breaches, func(_ owner.TargetKey, b *breach) bool { return now.Sub(b.at) > n.cfg.Probe })
}

// succeeded notes that a request was answered: it ends no targets.
func (n *Node) succeeded(now time.Time, f *flight, ev Finished) {
	if ev.Status >= http.StatusMultipleChoices {
		return
	}
	p := f.req.Sent
	n.endings.recent.Add(now, p)
	known := n.endings.book.Count(p)
	if known == 0 {
		return
	}
	n.endings.book.Answered(p, crash.Unwritten)
	if known >= toldAnswer {
		n.tellAll(CrashNews{Place: n.cfg.Place, Answered: []crash.Print{p}})
	}
}

// crashesHeard takes in what a peer tells, and passes it on in this place if it comes from
// another.
func (n *Node) crashesHeard(now time.Time, news CrashNews) {
	fresh := CrashNews{Answered: news.Answered}
	for _, r := range news.Reports {
		if n.remember(now, r) {
			fresh.Reports = append(fresh.Reports, r)
		}
	}
	for _, p := range news.Answered {
		n.endings.book.Answered(p, crash.Unwritten)
	}
	if news.Place != "" && news.Place != n.cfg.Place && len(fresh.Reports)+len(fresh.Answered) > 0 {
		n.tell(n.peers.local[n.cfg.Place], fresh)
	}
}

// tellAll tells the other instances of this place, and some of each other place.
func (n *Node) tellAll(news CrashNews) {
	peers := slices.Clone(n.peers.local[n.cfg.Place])
	for _, place := range slices.Sorted(maps.Keys(n.peers.local)) {
		if list := n.peers.local[place]; place != n.cfg.Place {
			peers = append(peers, list[:min(len(list), otherEntries)]...)
		}
	}
	n.tell(peers, news)
}

func (n *Node) tell(peers []Peer, news CrashNews) {
	if len(peers) > 0 {
		n.decide(TellCrashes{Peers: peers, News: news})
	}
}

// tellNewcomers tells what is known to instances of this place that have just started: one
// of those that were there before does, the first by name.
func (n *Node) tellNewcomers(before, after peerList) {
	if len(n.endings.told) == 0 {
		return
	}
	var fresh []Peer
	for _, p := range after.local[n.cfg.Place] {
		old, ok := before.byID[p.ID]
		switch {
		case !ok || old.Incarnation != p.Incarnation:
			fresh = append(fresh, p)
		case p.ID < n.cfg.Instance:
			return
		}
	}
	news := CrashNews{}
	for _, m := range n.endings.told {
		// Without the requests that were answered since: the newcomer doesn't know of that.
		r := CrashReport{Key: m.report.Key, Report: n.endings.book.Report(m.report.Key)}
		if len(r.Prints) > 0 {
			news.Reports = append(news.Reports, r)
		}
	}
	if len(news.Reports) > 0 {
		n.tell(fresh, news)
	}
}
