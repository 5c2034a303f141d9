// Package files reads operators' documents from a directory of YAML files.
package files

import (
	"fmt"
	"io/fs"
	"path"
	"strings"

	"github.com/juju/errors"

	"github.com/firlever/firlever/pkg/settings"
)

const (
	extension = ".yaml"
	readme    = "README.md"
)

// NameError reports that a file in the directory can't be a document, because of its name
// or size.
type NameError struct {
	File   string
	Reason string
}

func (e *NameError) Error() string { return fmt.Sprintf("files: %s: %s", e.File, e.Reason) }

// EmptyError reports that the directory contains no documents.
type EmptyError struct{}

func (e *EmptyError) Error() string { return "files: no document in the directory" }

// LoadDir reads a directory whose file names are the documents' paths:
// places/bne-north.yaml is the document /places/bne-north. It returns the documents
// in the order of fs.WalkDir, at version 1 and not parsed. A file that can't be a
// document gives *NameError, and a directory without documents *EmptyError; only
// files named README.md are skipped.
func LoadDir(fsys fs.FS) ([]settings.Document, error) {
	var docs []settings.Document
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Base(name) == readme {
			return err
		}
		doc, err := loadFile(fsys, name, entry)
		docs = append(docs, doc)
		return err
	})
	if err == nil && len(docs) == 0 {
		err = &EmptyError{}
	}
	if err != nil {
		return nil, errors.Annotate(err, "files.LoadDir")
	}
	return docs, nil
}

func loadFile(fsys fs.FS, name string, entry fs.DirEntry) (settings.Document, error) {
	base, ok := strings.CutSuffix(name, extension)
	if !ok {
		return settings.Document{}, &NameError{File: name, Reason: "file name must end in " + extension}
	}
	p, err := settings.ParsePath("/" + base)
	if err != nil {
		return settings.Document{}, &NameError{File: name, Reason: err.Error()}
	}
	info, err := entry.Info()
	if err != nil {
		return settings.Document{}, err
	}
	if info.Size() > settings.MaxBody {
		return settings.Document{}, &NameError{File: name, Reason: fmt.Sprintf("is %d bytes, at most %d", info.Size(), settings.MaxBody)}
	}
	body, err := fs.ReadFile(fsys, name)
	return settings.Document{Path: p.String(), Version: 1, Body: body}, err
}
