// Package explain finds the story of one request in the log lines of several
// instances: its own lines, and what the instances that handled it came to believe
// of its targets, its configuration and the store around that time.
package explain

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// contextWindow is how long before and after a request's lines beliefs belong to its
	// story: targets eject for up to 8 s, and clocks of instances differ a little.
	contextWindow = 10 * time.Second
	// maxLineBytes bounds a line that is read, in bytes.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Source string // of the file that it stands in
	Text   string // as it was logged
	fields map[string]string
}

// Field returns a field of the line, or "".
func (l Line) Field(name string) string { return l.fields[name] }

// Read reads the log lines of one source. What stands before a line's time, as
// collectors put it there, is skipped; lines without a time are too.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text(), source); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLine(text, source string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	l := Line{Source: source, Text: text[start:], fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	t, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.Time = t
	return l, err == nil && d.Err() == nil
}

// stateMessages are the messages about what an instance believes or depends on, whatever
// the request.
var stateMessages = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "store listed": true, "store lost": true, "store regained": true,
	"store read": true, "store history gone": true,
	"relay lost": true, "store followed through a peer": true, "lease not renewed": true, "lease renewed again": true, "lease ended": true,
	"registration verified": true, "store restored": true,
	"configuration in force": true, "evacuation": true, "settings reloaded": true, "log lines dropped": true,
	"loads not exchanged": true, "registration unusable": true, "tokens not asked for": true,
	"machine was suspended": true,
}

// Story returns the lines that explain a request, in the order of time. What became known
// of its fingerprint belongs to it whenever and wherever that was.
func Story(lines []Line, id string) []Line {
	sources, targets, fingerprints := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.Field("id") != id {
			continue
		}
		sources[l.Source] = true
		targets[l.Field("target")] = true
		fingerprints[l.Field("print")] = true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	delete(targets, "")
	delete(fingerprints, "")
	if first.IsZero() {
		return nil
	}
	notices := latestNotices(lines, sources, last)
	var story []Line
	for i, l := range lines {
		inWindow := !l.Time.Before(first.Add(-contextWindow)) && !l.Time.After(last.Add(contextWindow))
		related := stateMessages[l.Field("msg")] || l.Field("id") == "" && targets[l.Field("target")]
		if l.Field("id") == id || inWindow && sources[l.Source] && related || l.hasFingerprint(fingerprints) || notices[i] {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// noticeMessage is of lines that tell which requests a target wants.
const noticeMessage = "target notice"

// latestNotices finds the lines that tell what some instances last knew, at a time, of the requests that
// targets want: that may hold for long.
func latestNotices(lines []Line, sources map[string]bool, at time.Time) map[int]bool {
	type key struct{ source, target, news string }
	latest := make(map[key]int)
	for i, l := range lines {
		if l.Field("msg") != noticeMessage || !sources[l.Source] || l.Time.After(at) {
			continue
		}
		k := key{l.Source, l.Field("target"), l.Field("news")}
		if old, ok := latest[k]; !ok || !l.Time.Before(lines[old].Time) {
			latest[k] = i
		}
	}
	indexes := make(map[int]bool, len(latest))
	for _, i := range latest {
		indexes[i] = true
	}
	return indexes
}

// hasFingerprint says whether the line tells what became known of one of some fingerprints, and not
// of another request that has it.
func (l Line) hasFingerprint(fingerprints map[string]bool) bool {
	if l.Field("id") != "" {
		return false
	}
	if fingerprints[l.Field("print")] {
		return true
	}
	return slices.ContainsFunc(strings.Fields(strings.Trim(l.Field("prints"), "[]")), func(p string) bool { return fingerprints[p] })
}

// Failures counts the failed requests of the lines by how they ended, and gives the
// ID of one of each.
func Failures(lines []Line) []Failure {
	byEnding := make(map[string]*Failure)
	for _, l := range lines {
		if l.Field("msg") != "request" || l.Field("level") != "warn" {
			continue
		}
		key := l.Field("status") + " " + l.Field("ending") + l.Field("reason")
		f, ok := byEnding[key]
		if !ok {
			f = &Failure{Ending: key, ID: l.Field("id")}
			byEnding[key] = f
		}
		f.Count++
	}
	var list []Failure
	for _, key := range slices.Sorted(maps.Keys(byEnding)) {
		list = append(list, *byEnding[key])
	}
	return list
}

// Failure is one way in which requests failed.
type Failure struct {
	Ending string // status, and what decided about it
	ID     string // of the first such request
	Count  int
}
