package capacity

import (
	"fmt"
	"strings"
)

// MarkerError reports that the page has no markers for a table.
type MarkerError struct{ Name string }

func (e *MarkerError) Error() string { return "capacity: the page has no marks for " + e.Name }

// Fill returns the page with new tables between their markers. The error is a
// *MarkError or a *MissingError.
func Fill(page string, measures []Measure) (string, error) {
	rows, err := Rows(measures, TargetSize())
	if err != nil {
		return "", err
	}
	for _, t := range []struct{ name, table string }{{"figures", Figures(rows)}, {"slopes", Slopes(measures)}} {
		if page, err = replaceSection(page, t.name, t.table); err != nil {
			return "", err
		}
	}
	return page, nil
}

func replaceSection(page, name, table string) (string, error) {
	begin, end := fmt.Sprintf("<!-- %s -->\n", name), fmt.Sprintf("<!-- end of %s -->", name)
	head, rest, ok := strings.Cut(page, begin)
	_, tail, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", &MarkerError{Name: name}
	}
	return head + begin + "\n" + table + "\n" + end + tail, nil
}
