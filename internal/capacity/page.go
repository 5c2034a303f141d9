package capacity

import (
	"fmt"
	"strings"
)

// MarkError says that the page has no place for a table.
type MarkError struct{ Name string }

func (e *MarkError) Error() string { return "capacity: the page has no marks for " + e.Name }

// Fill puts the tables into the page, between their marks. The error is a
// *MarkError or a *MissingError.
func Fill(page string, measures []Measure) (string, error) {
	rows, err := Rows(measures, Target())
	if err != nil {
		return "", err
	}
	for _, t := range []struct{ name, table string }{{"figures", Figures(rows)}, {"slopes", Slopes(measures)}} {
		if page, err = replace(page, t.name, t.table); err != nil {
			return "", err
		}
	}
	return page, nil
}

func replace(page, name, table string) (string, error) {
	begin, end := fmt.Sprintf("<!-- %s -->\n", name), fmt.Sprintf("<!-- end of %s -->", name)
	head, rest, ok := strings.Cut(page, begin)
	_, tail, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", &MarkError{Name: name}
	}
	return head + begin + "\n" + table + "\n" + end + tail, nil
}
