package files

import (
	"os"
	"regexp"
	"testing"

	"github.com/firlever/firlever/pkg/settings"
)

var (
	pathPattern = regexp.MustCompile("`(/[a-z0-9/-]+)`")
	yamlPattern = regexp.MustCompile("(?s)([^\n]*(?:\n[^\n]+)*)\n\n```yaml\n(.*?)```")
)

// TestWorkedExample compiles the example in docs/settings.md, and checks the behaviour that
// the page states for it.
func TestWorkedExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var docs []settings.Document
	for _, m := range yamlPattern.FindAllSubmatch(page, -1) {
		for _, p := range pathPattern.FindAllSubmatch(m[1], -1) {
			docs = append(docs, settings.Document{Path: string(p[1]), Version: 1, Body: m[2]})
		}
	}
	s, err := settings.Compile(docs)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(docs), 6; got != want {
		t.Errorf("got %d documents, want %d", got, want)
	}
	id := settings.ServiceID{Team: "robotics", Name: "runorder"}
	service, _ := s.Service(id)
	if !service.Idempotent("POST", "/lookup/7") || service.Idempotent("POST", "/dispatch") || !s.TargetDrained(id, "north-2") {
		t.Error("the example does not behave as docs/settings.md states")
	}
}
