package docstore

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/firlever/firlever/platform"
)

const (
	// MaxPath is the length limit of a path or ID in bytes: a key of the platform's
	// store has at most 200.
	MaxPath = 200 - len(entryPrefix)
	// MaxValue is the size limit of an entry's value in bytes: the platform's limit
	// less the version line.
	MaxValue       = 1<<20 - maxVersionLine
	maxVersionLine = 64 // bytes of the version line
)

// versionLine is the first line of an entry's value in the platform's store. The value
// follows the newline unchanged.
type versionLine struct {
	Number  uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func encodeEntry(e Entry) []byte {
	line, err := json.Marshal(versionLine{Number: e.Version, Deleted: e.Deleted})
	if err != nil {
		panic(err) // a number and a bool can always be marshaled
	}
	return append(append(line, '\n'), e.Value...)
}

func decodeEntry(item platform.Item) (Entry, error) {
	e := Entry{Path: pathOf(item.Key), Revision: item.Changed}
	if item.Changed.IsZero() {
		return e, nil // the key does not exist
	}
	line, value, ok := bytes.Cut(item.Value, []byte("\n"))
	if !ok || len(line) > maxVersionLine {
		return Entry{}, &FormatError{Path: e.Path, Reason: "version line missing or too long"}
	}
	var v versionLine
	if err := json.Unmarshal(line, &v); err != nil {
		return Entry{}, &FormatError{Path: e.Path, Reason: err.Error()}
	}
	e.Version, e.Deleted = v.Number, v.Deleted
	if !v.Deleted {
		e.Value = value
	}
	return e, nil
}

// CheckPath returns an *InvalidError if the path can't be that of an entry.
func CheckPath(call, path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return &InvalidError{Call: call, Reason: "path does not start with /"}
	case len(path) > MaxPath:
		return &InvalidError{Call: call, Reason: "path too long"}
	}
	return nil
}

// CheckValue returns a *TooLargeError if the value is larger than MaxValue.
func CheckValue(path string, value []byte) error {
	if len(value) > MaxValue {
		return &TooLargeError{Path: path, Size: len(value)}
	}
	return nil
}

func marshal(call string, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, &InvalidError{Call: call, Reason: err.Error()}
	}
	return b, nil
}
