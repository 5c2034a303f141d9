// Command report reads the output of the benchmarks from standard input and prints
// the tables of docs/CAPACITY.md. With -write it records the measurements in a
// file, and with -page it updates the tables in the page. With -from it reads such
// a record instead of benchmark output, for use when only the calculation has
// changed.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/capacity"
)

func main() {
	record := flag.String("write", "", "file to record the measurements in")
	page := flag.String("page", "", "page to put the tables into")
	from := flag.String("from", "", "record to read instead of the standard input")
	flag.Parse()
	if err := run(*from, *record, *page); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(from, record, page string) error {
	measures, err := read(from)
	if err != nil {
		return errors.Annotate(err, "run")
	}
	fmt.Println(capacity.Slopes(measures))
	rows, err := capacity.Rows(measures, capacity.TargetSize())
	if err != nil {
		return errors.Annotate(err, "run")
	}
	fmt.Println(capacity.Figures(rows))
	if record != "" {
		if err := write(record, measures); err != nil {
			return err
		}
	}
	if page == "" {
		return nil
	}
	return fill(page, measures)
}

func read(from string) ([]capacity.Measure, error) {
	if from == "" {
		return capacity.Parse(os.Stdin)
	}
	b, err := os.ReadFile(from)
	if err != nil {
		return nil, errors.Annotate(err, "read")
	}
	var measures []capacity.Measure
	return measures, errors.Annotate(json.Unmarshal(b, &measures), "read")
}

func write(file string, measures []capacity.Measure) error {
	b, err := json.MarshalIndent(measures, "", " ")
	if err != nil {
		return errors.Annotate(err, "write")
	}
	return errors.Annotate(os.WriteFile(file, append(b, '\n'), 0o644), "write")
}

func fill(file string, measures []capacity.Measure) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.Annotate(err, "fill")
	}
	text, err := capacity.Fill(string(b), measures)
	if err != nil {
		return errors.Annotate(err, "fill")
	}
	return errors.Annotate(os.WriteFile(file, []byte(text), 0o644), "fill")
}
