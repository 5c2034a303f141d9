package capacity

import (
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"
)

const (
	recordFile = "../../docs/capacity.json"
	pageFile   = "../../docs/CAPACITY.md"
)

func recorded(t *testing.T) []Measure {
	t.Helper()
	b, err := os.ReadFile(recordFile)
	if err != nil {
		t.Fatal(err)
	}
	var measures []Measure
	if err := json.Unmarshal(b, &measures); err != nil {
		t.Fatal(err)
	}
	return measures
}

// Checks that the page holds the tables computed from the recorded measurements, so
// that neither is changed without the other.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Fill(string(page), recorded(t))
	if err != nil {
		t.Fatal(err)
	}
	if got := string(page); got != want {
		t.Errorf("got a page that the record does not give; run the report again. Want:\n%s", want)
	}
}

func TestRecordHasSizesAndRuns(t *testing.T) {
	for _, m := range recorded(t) {
		if len(m.Points) < 3 {
			t.Errorf("got %d sizes of %s in %s, want three or more", len(m.Points), m.Name, m.Unit)
		}
		for _, p := range m.Points {
			if len(p.Runs) < 2 {
				t.Errorf("got %d runs of %s at %v, want two or more", len(p.Runs), m.Name, p.Size)
			}
		}
	}
}

func TestParse(t *testing.T) {
	const out = `goos: linux
BenchmarkCapacityTick/10-2   	  100	   30.0 ns/op	 5.00 B/s
BenchmarkCapacityTick/10-2   	  100	   20.0 ns/op	 5.00 B/s
BenchmarkCapacityTick/20-2   	  100	   40.0 ns/op	 5.00 B/s
BenchmarkCapacityTick/30-2   	  100	   60.0 ns/op	 5.00 B/s
BenchmarkCapacityNote/json-2 	  100	   60.0 ns/op
BenchmarkOther/30-2          	  100	   60.0 ns/op
`
	tests := map[string]struct{ fixed, slope, at40 float64 }{
		"ns/op": {fixed: 0, slope: 2, at40: 80},
		"B/s":   {fixed: 5, slope: 0, at40: 5},
	}
	measures, err := Parse(strings.NewReader(out))
	if err != nil || len(measures) != len(tests) {
		t.Fatalf("got %v, %v, want %d measures", measures, err, len(tests))
	}
	for _, m := range measures {
		want := tests[m.Unit]
		l := m.Fit()
		if math.Abs(l.Fixed-want.fixed) > 1e-9 || math.Abs(l.Slope-want.slope) > 1e-9 || math.Abs(l.At(40)-want.at40) > 1e-9 {
			t.Errorf("got %+v of %s, want %+v", l, m.Unit, want)
		}
	}
}

func TestMissing(t *testing.T) {
	if _, err := Rows(nil, TargetSize()); err == nil {
		t.Error("got no error without records, want a *MissingError")
	}
}

func TestVerdict(t *testing.T) {
	tests := map[string]struct {
		row  Row
		want string
	}{
		"none":   {Row{Value: 5}, ""},
		"within": {Row{Value: 5, Budget: 10}, "50 % of 10.0"},
		"missed": {Row{Value: 25, Budget: 10}, "**misses by 2.5**"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.row.Verdict(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
