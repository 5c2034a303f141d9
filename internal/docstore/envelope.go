package docstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/firlever/firlever/pkg/settings"
)

// Limits of an envelope.
const (
	maxWriteIDs = 16   // identities kept of the last writes to a path
	maxWriteID  = 64   // bytes of a write identity
	maxHeader = 4096 // bytes of the header line
)

// header is the first line of a document's value. The document's body follows
// the line's end as it is.
type header struct {
	// Writes names the last writes to the path, the newest first. Writes[i]
	// made the version i below the entry's own, without gaps.
	Writes  []string `json:"writes"`
	Deleted bool     `json:"deleted,omitempty"`
	// Restored says that Writes don't name the writes to the path: the platform had lost the
	// document, and who wrote it again does not know them.
	Restored bool `json:"restored,omitempty"`
}

// EncodeDocument returns the value that keeps a document. writes names the last
// writes to its path, the newest (this one) first; only the first ones are kept.
func EncodeDocument(doc settings.Document, writes []string) ([]byte, error) {
	if err := checkWriteIDs(doc.Path, writes); err != nil {
		return nil, err
	}
	return encodeDocument(doc, header{Writes: writes[:min(len(writes), maxWriteIDs)]})
}

func encodeDocument(doc settings.Document, h header) ([]byte, error) {
	h.Deleted = doc.Deleted
	line, err := marshal("EncodeDocument", h)
	if err != nil {
		return nil, err
	}
	value := append(line, '\n')
	if !doc.Deleted {
		value = append(value, doc.Body...)
	}
	return value, CheckValue(doc.Path, value)
}

// restoredWriteID stands in the place of the writes to a document that are not known.
const restoredWriteID = "restored"

// EncodeRestored returns the value that keeps a document which the platform has lost.
func EncodeRestored(doc settings.Document) ([]byte, error) {
	return encodeDocument(doc, header{Writes: []string{restoredWriteID}, Restored: true})
}

// DecodeDocument reads the document of an entry. An entry that the platform
// itself deleted gives a deleted document; any other value that
// EncodeDocument didn't make gives *FormatError.
func DecodeDocument(e Entry) (settings.Document, error) {
	doc := settings.Document{Path: e.Path, Version: e.Version, Deleted: true}
	if e.Deleted {
		return doc, nil
	}
	h, body, err := decodeEnvelope(e)
	if err != nil {
		return settings.Document{}, err
	}
	doc.Deleted = h.Deleted
	doc.Body = body
	return doc, nil
}

// Writes returns the identities of the last writes to a document's path, the
// newest first; none if the value doesn't tell.
func Writes(e Entry) []string {
	if e.Deleted {
		return nil
	}
	h, _, err := decodeEnvelope(e)
	if err != nil || h.Restored {
		return nil
	}
	return h.Writes
}

func decodeEnvelope(e Entry) (header, []byte, error) {
	line, body, ok := bytes.Cut(e.Value, []byte("\n"))
	if !ok || len(line) > maxHeader {
		return header{}, nil, &FormatError{Path: e.Path, Reason: "no header line"}
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return header{}, nil, &FormatError{Path: e.Path, Reason: err.Error()}
	}
	if err := checkWriteIDs(e.Path, h.Writes); err != nil {
		return header{}, nil, err
	}
	if len(h.Writes) > maxWriteIDs {
		return header{}, nil, &FormatError{Path: e.Path, Reason: "too many writes"}
	}
	if h.Deleted && len(body) > 0 {
		return header{}, nil, &FormatError{Path: e.Path, Reason: "a deleted document with a body"}
	}
	return h, body, nil
}

func checkWriteIDs(path string, writes []string) error {
	if len(writes) == 0 {
		return &FormatError{Path: path, Reason: "no write identity"}
	}
	if i := slices.IndexFunc(writes, func(w string) bool { return !validWriteID(w) }); i >= 0 {
		return &FormatError{Path: path, Reason: fmt.Sprintf("write identity %d is not 1 to %d letters, digits, - or _", i, maxWriteID)}
	}
	return nil
}

func validWriteID(w string) bool {
	if w == "" || len(w) > maxWriteID {
		return false
	}
	for _, c := range []byte(w) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
