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
	maxWriteIDs = 16   // IDs kept of the latest writes to a path
	maxWriteID  = 64   // bytes of a write ID
	maxHeader   = 4096 // bytes of the header line
)

// header is the first line of a document's value. The document's body follows
// the newline unchanged.
type header struct {
	// Writes holds the IDs of the latest writes to the path, newest first. Writes[i]
	// created the version i below the entry's own, without gaps.
	Writes  []string `json:"writes"`
	Deleted bool     `json:"deleted,omitempty"`
	// Restored means that Writes does not hold the IDs of the writes to the path: the store
	// had lost the document, and the instance that restored it does not have them.
	Restored bool `json:"restored,omitempty"`
}

// EncodeDocument returns the entry value that stores a document. writeIDs holds the IDs of
// the latest writes to its path, newest (this one) first; only the first ones are kept.
func EncodeDocument(doc settings.Document, writeIDs []string) ([]byte, error) {
	if err := checkWriteIDs(doc.Path, writeIDs); err != nil {
		return nil, err
	}
	return encodeDocument(doc, header{Writes: writeIDs[:min(len(writeIDs), maxWriteIDs)]})
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

// restoredWriteID replaces the IDs of writes to a restored document, which are unknown.
const restoredWriteID = "restored"

// EncodeRestored returns the entry value that stores a document which the platform's store
// has lost.
func EncodeRestored(doc settings.Document) ([]byte, error) {
	return encodeDocument(doc, header{Writes: []string{restoredWriteID}, Restored: true})
}

// DecodeDocument returns the document of an entry. An entry that is itself deleted
// gives a deleted document; any other value that does not have the format of
// EncodeDocument gives *FormatError.
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

// WriteIDs returns the IDs of the latest writes to a document's path, newest
// first; none if the value does not hold them.
func WriteIDs(e Entry) []string {
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
		return header{}, nil, &FormatError{Path: e.Path, Reason: "header line missing or too long"}
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return header{}, nil, &FormatError{Path: e.Path, Reason: err.Error()}
	}
	if err := checkWriteIDs(e.Path, h.Writes); err != nil {
		return header{}, nil, err
	}
	if len(h.Writes) > maxWriteIDs {
		return header{}, nil, &FormatError{Path: e.Path, Reason: "too many write IDs"}
	}
	if h.Deleted && len(body) > 0 {
		return header{}, nil, &FormatError{Path: e.Path, Reason: "deleted document has a body"}
	}
	return h, body, nil
}

func checkWriteIDs(path string, writeIDs []string) error {
	if len(writeIDs) == 0 {
		return &FormatError{Path: path, Reason: "no write ID"}
	}
	if i := slices.IndexFunc(writeIDs, func(w string) bool { return !validWriteID(w) }); i >= 0 {
		return &FormatError{Path: path, Reason: fmt.Sprintf("write ID %d is not 1 to %d letters, digits, - or _", i, maxWriteID)}
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
