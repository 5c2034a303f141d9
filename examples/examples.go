// Package examples holds the settings of two deployments, one file for each
// document, laid out as the documents' paths.
package examples

import (
	"embed"
	"io/fs"
)

// Names of the deployments.
const (
	MoretonBay = "moreton-bay"
	Tidewright = "tidewright"
)

//go:embed moreton-bay tidewright
var files embed.FS

// Dir is one deployment's directory, ready for files.LoadDir. A name that is
// none of the above fails when the directory is read.
func Dir(name string) (fs.FS, error) { return fs.Sub(files, name) }
