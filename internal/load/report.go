package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Report holds the results of a run. Latencies are in milliseconds, of answered requests
// only, from the intended start to the last byte.
type Report struct {
	Counts
	Held     uint64    `json:"held"`    // requests that were delayed because too many were in flight
	Unsent   uint64    `json:"unsent"`  // delayed requests that were not sent before the run was cancelled
	Seconds  float64   `json:"seconds"` // time for which requests were sent
	Services []Service `json:"services"`
}

// Counts counts requests by outcome.
type Counts struct {
	Requests uint64 `json:"requests"` // always the sum of the next three
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	Wrong    uint64 `json:"wrong"` // requests whose body was delivered as complete but was not the expected one
}

// Service holds the results of one service.
type Service struct {
	Name string `json:"name"`
	Counts
	P50    float64  `json:"p50"`
	P99    float64  `json:"p99"`
	P999   float64  `json:"p999"`
	Max    float64  `json:"max"`
	Errors []Reason `json:"errors,omitempty"`
	Places []Place  `json:"places,omitempty"`
	Wrongs []string `json:"wrongs,omitempty"` // the first maxExamples wrong answers
}

// Reason counts the requests that ended without an answer for one reason.
type Reason struct {
	Outcome Outcome `json:"outcome"`
	Text    string  `json:"reason"`
	Count   uint64  `json:"count"`
}

// Place counts the answers that a place served.
type Place struct {
	Name     string `json:"place"`
	Answered uint64 `json:"answered"`
}

func (c *Counts) add(r Result) {
	c.Requests++
	switch r.Outcome {
	case Answered:
		c.Answered++
	case Refused:
		c.Refused++
	default:
		c.Unknown++
	}
	if r.Wrong != nil {
		c.Wrong++
	}
}

func (c *Counts) sum(d Counts) {
	c.Requests += d.Requests
	c.Answered += d.Answered
	c.Refused += d.Refused
	c.Unknown += d.Unknown
	c.Wrong += d.Wrong
}

// Goodput returns the answers/s.
func (r *Report) Goodput() float64 {
	if r.Seconds == 0 {
		return 0
	}
	return float64(r.Answered) / r.Seconds
}

// WriteJSON writes the report as one line.
func (r *Report) WriteJSON(w io.Writer) error {
	return errors.Annotate(json.NewEncoder(w).Encode(r), "Report.WriteJSON")
}

// WriteTable writes the report as a table for people to read.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\trequests\tanswered\trefused\tunknown\twrong\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, s := range r.Services {
		writeCounts(t, s.Name, s.Counts)
		fmt.Fprintf(t, "%.1f\t%.1f\t%.1f\t%.1f\t\n", s.P50, s.P99, s.P999, s.Max)
	}
	writeCounts(t, "all", r.Counts)
	fmt.Fprint(t, "\t\t\t\t\n")
	if err := t.Flush(); err != nil {
		return errors.Annotate(err, "Report.WriteTable")
	}
	return r.writeNotes(w)
}

func writeCounts(w io.Writer, name string, c Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t", name, c.Requests, c.Answered, c.Refused, c.Unknown, c.Wrong)
}

// writeNotes writes the reasons and examples below the table.
func (r *Report) writeNotes(w io.Writer) error {
	for _, s := range r.Services {
		for _, e := range s.Errors {
			fmt.Fprintf(w, "%s: %s, %s: %d\n", s.Name, e.Outcome, e.Text, e.Count)
		}
		for _, wrong := range s.Wrongs {
			fmt.Fprintf(w, "%s: wrong answer: %s\n", s.Name, wrong)
		}
	}
	_, err := fmt.Fprintf(w, "%.1f answers/s over %.1f s, %d requests held up, %d of them unsent\n",
		r.Goodput(), r.Seconds, r.Held, r.Unsent)
	return errors.Annotate(err, "Report.WriteTable")
}
