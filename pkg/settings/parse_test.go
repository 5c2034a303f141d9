package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

const validPlace = "region: brisbane\nlimit: 10\n"

const validService = `class: interactive
timeout: 2s
shift: 40
rules:
  - {method: POST, prefix: /lookup, idempotent: true}
  - {prefix: /unlock, idempotent: false}
places:
  bne-north:
    limit: 9
    targets:
      - {name: a, address: "127.1.0.1:9000", slots: 5, connections: 30}
      - {name: b, address: "127.1.0.2:9000", slots: 5, connections: 30}
`

func doc(path string, version uint64, body string) Document {
	return Document{Path: path, Version: version, Body: []byte(body)}
}

func TestParseRejects(t *testing.T) {
	service := func(old, next string) string { return strings.Replace(validService, old, next, 1) }
	tests := map[string]struct{ path, body, field, reason string }{
		"unknown path":       {"/rosters/a", validPlace, "", "no document"},
		"bad name":           {"/places/Bne", validPlace, "", "is not a name"},
		"long name":          {"/places/" + strings.Repeat("a", 64), validPlace, "", "is not a name"},
		"empty":              {"/places/a", "# none\n", "", "0 documents"},
		"two documents":      {"/places/a", validPlace + "---\n" + validPlace, "", "second document"},
		"duplicate key":      {"/places/a", validPlace + "limit: 3\n", "", "already defined"},
		"unknown field":      {"/places/a", validPlace + "colour: red\n", "colour", "unknown field"},
		"field in capitals":  {"/places/a", "Region: a\nlimit: 3\n", "Region", "unknown field"},
		"text for number":    {"/places/a", "region: a\nlimit: \"5\"\n", "limit", "whole number"},
		"fraction":           {"/places/a", "region: a\nlimit: 5.7\n", "limit", "whole number"},
		"null":               {"/places/a", "region: a\nlimit: ~\n", "limit", "whole number"},
		"number for text":    {"/places/a", "region: 5\nlimit: 3\n", "region", "string"},
		"list for mapping":   {"/places/a", "- a\n", "", "mapping"},
		"alias":              {"/places/a", "region: &x a\ndomain: *x\nlimit: 1\n", "", "anchor"},
		"merge":              {"/places/a", "<<: {limit: 3}\nregion: a\n", "", "merge"},
		"tag":                {"/places/a", "region: !!str a\nlimit: 3\n", "", "tag"},
		"not UTF-8":          {"/places/a", "region: \xff\n", "", "UTF-8"},
		"too large":          {"/places/a", strings.Repeat("# a\n", MaxBody/4+1), "", "at most"},
		"deep brackets":      {"/blocks/a", strings.Repeat("[\n", MaxLines-1), "", "deep"},
		"deep lists":         {"/blocks/a", strings.Repeat("- ", 2000), "", "deep"},
		"long line":          {"/blocks/a", strings.Repeat("[],", 9000), "", "line is"},
		"many comments":      {"/places/a", strings.Repeat("#\n", MaxLines) + validPlace, "", "lines"},
		"many empty items":   {"/blocks/a", strings.Repeat("-\n", maxEmpty+1), "", "left empty"},
		"many empty lists":   {"/blocks/a", strings.Repeat("-\n -\n  -\n", maxEmpty+1), "", "left empty"},
		"many empty fields":  {"/blocks/a", strings.Repeat("- a: # none\n", maxEmpty+1), "", "left empty"},
		"many keys":          {"/blocks/a", mappingWithKeys(MaxLines - 1), "", "fields in one mapping"},
		"zero limit":         {"/places/a", "region: a\n", "limit", "from 1"},
		"negative link":      {"/places/a", validPlace + "link: -1\n", "link", "negative"},
		"prefix with bits":   {"/blocks/a", "blocks: [{prefix: 10.0.0.1/8, place: a}]\n", "blocks[0].prefix", "10.0.0.0/8"},
		"no prefix":          {"/blocks/a", "blocks: [{prefix: 10.0.0.1, place: a}]\n", "blocks[0].prefix", "not a prefix"},
		"prefix twice":       {"/blocks/a", "blocks: [{prefix: 10.0.0.0/8, place: a}, {prefix: 10.0.0.0/8, place: a}]\n", "blocks[1].prefix", "twice"},
		"unknown role":       {"/teams/a/team", "tokens: [{name: a, role: all, hash: " + HashToken("a") + "}]\n", "tokens[0].role", "not a role"},
		"short hash":         {"/teams/a/team", "tokens: [{name: a, role: read, hash: abc}]\n", "tokens[0].hash", "SHA-256"},
		"hash of nothing":    {"/teams/a/team", "tokens: [{name: a, role: read, hash: " + HashToken("") + "}]\n", "tokens[0].hash", "empty token"},
		"negative share":     {"/teams/a/team", "share: -1\n", "share", "from 1"},
		"unknown class":      {"/teams/a/services/s", service("interactive", "fast"), "class", "not a class"},
		"no timeout":         {"/teams/a/services/s", service("timeout: 2s\n", ""), "timeout", "1ms"},
		"long timeout":       {"/teams/a/services/s", service("2s", "11m"), "timeout", "10m"},
		"timeout of no unit": {"/teams/a/services/s", service("2s", "20"), "timeout", "must be a duration"},
		"zero shift":         {"/teams/a/services/s", service("shift: 40", "shift: 0"), "shift", "from 1"},
		"bad rule":           {"/teams/a/services/s", service("/unlock", "/a/../unlock"), "rules[1].prefix", "start with /"},
		"limit over slots":   {"/teams/a/services/s", service("limit: 9", "limit: 11"), "places.bne-north.limit", "over the 10 slots"},
		"zero slots":         {"/teams/a/services/s", service("slots: 5", "slots: 0"), "places.bne-north.targets[0].slots", "from 1"},
		"slots over conns":   {"/teams/a/services/s", service("slots: 5", "slots: 31"), "places.bne-north.targets[0].slots", "over the 30 connections"},
		"host for IP":        {"/teams/a/services/s", service("127.1.0.1:9000", "localhost:80"), "places.bne-north.targets[0].address", "IP:port"},
		"name twice":         {"/teams/a/services/s", service("name: b", "name: a"), "places.bne-north.targets[1].name", "twice"},
		"address twice":      {"/teams/a/services/s", service("127.1.0.2:9000", "[::ffff:127.1.0.1]:9000"), "places.bne-north.targets[1].address", "twice"},
		"drain of nothing":   {"/drains/d", "reason: x\n", "", "names 0"},
		"drain of two":       {"/drains/d", "place: a\ninstance: b\n", "", "names 2"},
		"target alone":       {"/drains/d", "target: a\n", "service", "must name"},
		"team's instance":    {"/teams/a/drains/d", "instance: i\nservice: s\n", "instance", "all teams"},
		"team's place":       {"/teams/a/drains/d", "place: p\n", "service", "only its own"},
		"other team":         {"/teams/a/drains/d", "place: p\nservice: b/s\n", "service", "name alone"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(doc(tt.path, 1, tt.body))
			var faults *FaultsError
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want *FaultsError", err)
			}
			for _, f := range faults.Faults {
				if f.Path == truncate(tt.path) && f.Field == tt.field && strings.Contains(f.Reason, tt.reason) {
					return
				}
			}
			t.Errorf("got %v, want %s %s: %s", err, tt.path, tt.field, tt.reason)
		})
	}
}

// The items of a list must not count as empty values, whatever their indentation.
func TestParseAcceptsLongLists(t *testing.T) {
	for name, item := range map[string]string{
		"beside the name": "- {prefix: 10.%d.%d.0/24, place: a}\n",
		"indented":        "  - {prefix: 10.%d.%d.0/24, place: a}\n",
		"block form":      "  -\n    prefix: 10.%d.%d.0/24\n    place: a\n",
	} {
		var b strings.Builder
		b.WriteString("blocks: # all\n")
		for i := range 2 * maxEmpty {
			fmt.Fprintf(&b, item, i>>8, i&255)
		}
		if _, err := Parse(doc("/blocks/a", 1, b.String())); err != nil {
			t.Errorf("%s: got %v, want no fault", name, err)
		}
	}
}

// A document of exactly MaxLines lines is valid.
func TestParseAcceptsMaxLines(t *testing.T) {
	body := strings.Repeat("#\n", MaxLines-2) + validPlace
	if _, err := Parse(doc("/places/a", 1, body)); err != nil {
		t.Errorf("got %v, want no fault", err)
	}
}

func mappingWithKeys(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "k%d: 1\n", i)
	}
	return b.String()
}

func TestParseReportsAllFaultsWithLines(t *testing.T) {
	body := strings.NewReplacer("slots: 5", "slots: 0", "shift: 40", "shift: -1").Replace(validService)
	_, err := Parse(doc("/teams/a/services/s", 1, body))
	var got *FaultsError
	if !errors.As(err, &got) {
		t.Fatalf("got %v, want *FaultsError", err)
	}
	want := map[string]int{
		"shift": 3, "places.bne-north.limit": 9,
		"places.bne-north.targets[0].slots": 11, "places.bne-north.targets[1].slots": 12,
	}
	for _, f := range got.Faults {
		if want[f.Field] != f.Line {
			t.Errorf("%s: got line %d, want %d", f.Field, f.Line, want[f.Field])
		}
		delete(want, f.Field)
	}
	if len(want) > 0 {
		t.Errorf("not reported: %v", want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("/places/a", []byte(validPlace))
	f.Add("/teams/a/services/s", []byte(validService))
	f.Add("/blocks/a", []byte("blocks: [{prefix: 10.0.0.0/8, place: a}]\n"))
	f.Add("/teams/a/team", []byte("share: 2\ntokens: [{name: a, role: read, hash: "+HashToken("a")+"}]\n"))
	f.Add("/drains/d", []byte("place: a\nreason: works\n"))
	f.Add("/places/a", []byte(strings.Repeat("#\n", MaxLines+1)))
	f.Add("/blocks/a", []byte(strings.Repeat("-\n -\n  -\n", maxEmpty+1)))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		p, err := Parse(Document{Path: path, Version: 1, Body: body})
		var faults *FaultsError
		if err != nil && (!errors.As(err, &faults) || len(faults.Faults) == 0) {
			t.Fatalf("got %v, want *FaultsError with a fault", err)
		}
		if err == nil && p.Path().String() != path {
			t.Fatalf("got path %s, want %s", p.Path(), path)
		}
	})
}
