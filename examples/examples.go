// Package examples contains the settings of two example deployments, with one file for each
// document, at the path of the document.
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

// Dir returns the directory of a deployment, for files.LoadDir. For an unknown name it returns no
// error, but reading the directory fails.
func Dir(name string) (fs.FS, error) { return fs.Sub(files, name) }
