// Package explain selects the log lines that explain one request from the logs of
// several instances: its own lines, and those that show how the instances that
// handled it saw its targets, the configuration and the store around that time. It
// also summarises requests by outcome and by fields.
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
	// contextWindow is the time before and after a request's lines from which other
	// lines of its instances are included: targets are ejected for up to 8 s, and the
	// clocks of instances differ slightly.
	contextWindow = 10 * time.Second
	// maxLineBytes is the longest line that can be read.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Source string // name of the file or instance
	Text   string // as logged, from its time on
	fields map[string]string
}

// Field returns the value of a field, or "" if the line doesn't have it.
func (l Line) Field(name string) string { return l.fields[name] }

// Read reads the log lines of one source. The text that log collectors put before
// the time is removed from the line, and its last word replaces the source. Lines
// without a time are skipped.
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

// stateMessages are the messages about the state of an instance and of what it
// depends on, which concern every request.
var stateMessages = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "store listed": true, "store lost": true, "store regained": true,
	"store read": true, "store history gone": true,
	"relay lost": true, "store followed through a peer": true, "lease not renewed": true, "lease renewed again": true, "lease ended": true,
	"registration verified": true, "store restored": true,
	"configuration in force": true, "evacuation": true, "settings reloaded": true, "log lines dropped": true,
	"loads not exchanged": true, "homes moved": true, "kept objects": true, "registration unusable": true, "tokens not asked for": true,
	"machine was suspended": true, "service short of room": true, "service has room again": true, "partitioned from targets": true, "targets reached again": true, "partition not written": true,
}

// Timeline returns the lines that explain a request, ordered by time, or nil if no
// line has its ID. Lines about its fingerprint are included from all instances and
// at any time.
func Timeline(lines []Line, id string) []Line {
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

// noticeMessage is the message of lines that record which requests a target accepts.
const noticeMessage = "target notice"

// latestNotices returns the indexes of the lines with the notices that were the
// latest at some instances at a time, one for each instance, target and kind. They
// are not limited to a window, as a notice can stay in force for long.
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

// hasFingerprint reports whether the line is about one of the fingerprints in
// general. Lines of single requests with such a fingerprint don't count.
func (l Line) hasFingerprint(fingerprints map[string]bool) bool {
	if l.Field("id") != "" {
		return false
	}
	if fingerprints[l.Field("print")] {
		return true
	}
	return slices.ContainsFunc(strings.Fields(strings.Trim(l.Field("prints"), "[]")), func(p string) bool { return fingerprints[p] })
}

// Failures counts the failed requests in the lines by status and outcome, with the
// ID of the first request of each group, sorted by status and outcome.
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

// Failure is a group of requests that failed with the same status and outcome.
type Failure struct {
	Ending string // status, then the outcome or reason
	ID     string // of the first such request
	Count  int
}
