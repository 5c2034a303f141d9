package explain

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const grouped = `time=2026-06-01T10:00:01Z level=info msg=request id=1 service=s domain=d1 target=t1 took=100ms wait=0s back=90ms load-age=200ms ending=answered
time=2026-06-01T10:00:02Z level=info msg=request id=2 service=s domain=d1 target=t1 took=300ms wait=50ms back=150ms load-age=3s ending=answered
time=2026-06-01T10:00:03Z level=warn msg=request id=3 service=s domain=d2 target=t2 took=3s wait=600ms load-age=-1ns ending=late
time=2026-06-01T10:00:03Z level=warn msg=attempt id=3 service=s domain=d2 target=t2 took=3s
time=2026-06-01T10:00:04Z level=warn msg=request id=4 status=401 reason=no-key
`

// Checks that each request that was sent to a target is counted once, in its group,
// and that lines of attempts and of requests without a target are not.
func TestGroups(t *testing.T) {
	domain1 := Group{Count: 2, PredictedWait: 25 * time.Millisecond, PredictedBack: 120 * time.Millisecond, Took: 200 * time.Millisecond, FreshLoad: 1}
	domain2 := Group{Count: 1, Late: 1, PredictedWait: 600 * time.Millisecond, Took: 3 * time.Second}
	withValues := func(g Group, values ...string) Group {
		g.Values = values
		return g
	}
	second := time.Date(2026, 6, 1, 10, 0, 2, 0, time.UTC)
	tests := map[string]struct {
		fields      []string
		from, until time.Time
		want        []Group
	}{
		"by domain":   {[]string{"domain"}, time.Time{}, time.Time{}, []Group{withValues(domain1, "d1"), withValues(domain2, "d2")}},
		"by two":      {[]string{"source", "domain"}, time.Time{}, time.Time{}, []Group{withValues(domain1, "a.log", "d1"), withValues(domain2, "a.log", "d2")}},
		"from":        {[]string{"domain"}, second.Add(time.Second), time.Time{}, []Group{withValues(domain2, "d2")}},
		"until":       {[]string{"id"}, second, second.Add(time.Second), []Group{{Values: []string{"2"}, Count: 1, PredictedWait: 50 * time.Millisecond, PredictedBack: 150 * time.Millisecond, Took: 300 * time.Millisecond}}},
		"no such one": {[]string{"domain"}, second.Add(time.Hour), time.Time{}, []Group{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(grouped), "a.log")
			if err != nil {
				t.Fatal(err)
			}
			if got := Groups(Between(lines, tt.from, tt.until), tt.fields); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
