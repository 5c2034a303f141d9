package explain

import (
	"strings"
	"testing"
)

const logs = `time=2026-01-01T00:00:00Z level=info msg=started instance=a
time=2026-01-01T00:00:01Z level=info msg=target target=t1 leaving=false
time=2026-01-01T00:00:20Z level=info msg="configuration in force" version=3
time=2026-01-01T00:00:21.5Z level=warn msg=request id=q1 status=504 ending=late target=t1
time=2026-01-01T00:00:21Z level=warn msg=attempt id=q1 ending=failed target=t2
time=2026-01-01T00:00:21Z level=info msg=request id=q2 status=200 ending=answered target=t1
time=2026-01-01T00:00:22Z level=warn msg="target ejected" target=t1
time=2026-01-01T00:00:22Z level=warn msg="target ejected" target=t3
time=2026-01-01T00:00:22.5Z level=warn msg="loads not exchanged" err="x"
time=2026-01-01T00:00:23Z level=warn msg="store lost" err="x=y"
no log line
time=never msg=x
time=2026-01-01T00:01:00Z level=info msg="store regained"
`

func read(t *testing.T, text, source string) []Line {
	t.Helper()
	lines, err := Read(strings.NewReader(text), source)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestStory(t *testing.T) {
	lines := append(read(t, logs, "a"), read(t, strings.ReplaceAll(logs, "q1", "q9"), "b")...)
	want := []string{"configuration in force", "attempt", "request", "target ejected", "loads not exchanged", "store lost"}
	story := Timeline(lines, "q1")
	var got []string
	for _, l := range story {
		got = append(got, l.Field("msg"))
		if l.Source != "a" {
			t.Errorf("got a line of %s, which did not handle the request", l.Source)
		}
	}
	if strings.Join(got, ",") != strings.Join(want, ",") {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := Timeline(lines, "none"); got != nil {
		t.Errorf("got %d lines for an unknown request", len(got))
	}
}

// Checks that lines about a request's fingerprint are included from all instances
// and from long before, but lines of other requests with the fingerprint are not.
func TestStoryOfFingerprint(t *testing.T) {
	const otherInstance = `time=2026-01-01T00:00:00Z level=warn msg="target ended" target=t8 prints="[7a b1]"
time=2026-01-01T00:00:01Z level=warn msg="target ended" target=t9 prints="[b1 b2]"
time=2026-01-01T00:00:02Z level=warn msg="request ends targets" print=b1 targets=3
time=2026-01-01T00:00:02Z level=warn msg="request ends targets" print=7a targets=3
time=2026-01-01T00:00:02Z level=warn msg=request id=q4 print=7a status=503
`
	const ownInstance = "time=2026-01-01T00:05:00Z level=warn msg=request id=q3 print=7a status=503 ending=ends-targets\n"
	var got []string
	for _, l := range Timeline(append(read(t, otherInstance, "a"), read(t, ownInstance, "b")...), "q3") {
		got = append(got, l.Field("msg")+" "+l.Field("target"))
	}
	want := []string{"target ended t8", "request ends targets ", "request "}
	if strings.Join(got, ",") != strings.Join(want, ",") {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestSourcePrefix(t *testing.T) {
	lines := read(t, "  0.5 edge-1 time=2026-01-01T00:00:00Z level=info msg=started\n", "file")
	if len(lines) != 1 || lines[0].Source != "edge-1" {
		t.Errorf("got %+v, want one line of edge-1", lines)
	}
}

func TestFailures(t *testing.T) {
	got := Failures(append(read(t, logs, "a"), read(t, logs, "b")...))
	want := Failure{Ending: "504 late", ID: "q1", Count: 2}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text), "f")
		if err != nil {
			return
		}
		for _, l := range lines {
			if id := l.Field("id"); id != "" && len(Timeline(lines, id)) == 0 {
				t.Errorf("got no lines for request %q", id)
			}
		}
	})
}

// Checks that the latest notices of targets are included, also from long before, if
// the instance that handled the request had received them.
func TestStoryOfNotices(t *testing.T) {
	const ownInstance = `time=2026-01-01T00:00:00Z level=info msg="target notice" target=t1 news=limits limit=4 id=q0
time=2026-01-01T00:00:01Z level=info msg="target notice" target=t1 news=limits limit=5 id=q0
time=2026-01-01T00:00:02Z level=info msg="target notice" target=t2 news=rests rest=3s id=q0
time=2026-01-01T00:05:00Z level=warn msg=request id=q1 status=503 ending=limited first=t1
time=2026-01-01T00:05:01Z level=info msg="target notice" target=t1 news=limit-over id=q2
`
	const otherInstance = `time=2026-01-01T00:04:00Z level=info msg="target notice" target=t1 news=limits limit=6 id=q3
`
	var got []string
	for _, l := range Timeline(append(read(t, ownInstance, "a"), read(t, otherInstance, "b")...), "q1") {
		got = append(got, strings.Join([]string{l.Field("msg"), l.Field("target"), l.Field("limit"), l.Field("rest")}, " "))
	}
	want := []string{"target notice t1 5 ", "target notice t2  3s", "request   "}
	if strings.Join(got, ",") != strings.Join(want, ",") {
		t.Errorf("got %q, want %q", got, want)
	}
}
