package operator

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/pkg/settings"
)

// Headers of a change.
const (
	// HeaderWrite carries the ID of a change, by which its outcome can be queried later.
	// Only a retry of the same change may reuse the ID.
	HeaderWrite = "Firlever-Write"
	// HeaderTry, set to TryFirst, asserts that the change was not sent before. A
	// refusal then can't be due to an earlier attempt that was applied.
	HeaderTry = "Firlever-Try"
	TryFirst  = "first"
)

const (
	maxBearerBytes = 512
	maxPaths       = 64 // per request
)

func invalid(format string, args ...any) *Problem {
	return &Problem{Code: CodeInvalid, Reason: fmt.Sprintf(format, args...)}
}

// FormatVersion formats a version as an entity tag.
func FormatVersion(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseVersion parses a version from the single value of an If-Match or ETag
// header: digits without leading zeros, in double quotes. Errors are *Problem.
func ParseVersion(values []string) (uint64, error) {
	if len(values) == 0 {
		reason := `a change needs the header If-Match: "<version that you read>", "0" to create`
		return 0, &Problem{Code: CodePrecondition, Reason: reason}
	}
	version, err := strconv.ParseUint(strings.Trim(values[0], `"`), 10, 64)
	if len(values) > 1 || err != nil || FormatVersion(version) != values[0] {
		return 0, invalid(`If-Match must be one version in quotes such as "7"`)
	}
	return version, nil
}

// parseDocumentPath parses the part of a URL path after /v1/documents/.
func parseDocumentPath(suffix string) (settings.Path, error) {
	p, err := settings.ParsePath("/" + suffix)
	if err != nil {
		return settings.Path{}, invalid("%v", err)
	}
	return p, nil
}

// parsePrefix parses the prefix of a list request; the default is /.
func parsePrefix(query url.Values) (string, error) {
	prefix := query.Get("prefix")
	if prefix == "" {
		prefix = "/"
	}
	if err := docstore.CheckPath("List", prefix); err != nil {
		return "", invalid("prefix: %v", err)
	}
	return prefix, nil
}

// parseSource reports whether the request is for the documents in force at this instance
// instead of those in the platform's store.
func parseSource(query url.Values) (inForce bool, err error) {
	switch source := query.Get("source"); source {
	case "", "platform":
		return false, nil
	case "instance":
		return true, nil
	default:
		return false, invalid("source must be platform or instance")
	}
}

// parsePaths parses the paths of the documents whose versions are requested.
func parsePaths(query url.Values) ([]string, error) {
	paths := query["path"]
	if len(paths) > maxPaths {
		return nil, invalid("at most %d paths", maxPaths)
	}
	for _, p := range paths {
		if _, err := settings.ParsePath(p); err != nil {
			return nil, invalid("%v", err)
		}
	}
	return paths, nil
}

// checkWriteID returns a *Problem unless writeID has the format that docstore requires.
func checkWriteID(writeID string) error {
	if _, err := docstore.EncodeDocument(settings.Document{}, []string{writeID}); err != nil {
		return invalid("a write ID must be 1 to 64 letters, digits, - or _")
	}
	return nil
}

// parseBearer parses the Authorization header; a missing header gives an empty token.
func parseBearer(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxBearerBytes {
		return "", &Problem{Code: CodeUnauthorized, Reason: "Authorization must be the scheme Bearer and one token"}
	}
	return token, nil
}

// change is a write to one document.
type change struct {
	path    settings.Path
	version uint64 // version that the operator read
	body    []byte
	deleted bool
	writeID string
	// maybeRepeat is set unless an earlier attempt with this write ID is ruled out.
	maybeRepeat bool
}

func (c change) document() settings.Document {
	return settings.Document{Path: c.path.String(), Version: c.version, Body: c.body, Deleted: c.deleted}
}

// readChange reads a change to the path p, which has been authorized.
func readChange(w http.ResponseWriter, r *http.Request, p settings.Path) (change, error) {
	c := change{path: p, deleted: r.Method == http.MethodDelete}
	var err error
	if c.version, err = ParseVersion(r.Header.Values("If-Match")); err != nil {
		return c, err
	}
	if err = c.parseWriteID(r.Header); err != nil {
		return c, err
	}
	c.body, err = readBody(w, r)
	if err == nil && c.deleted && len(c.body) > 0 {
		err = invalid("a deletion must not have a body")
	}
	return c, err
}

func (c *change) parseWriteID(h http.Header) error {
	if len(h.Values(HeaderWrite)) == 0 {
		c.writeID = rand.Text()
		return nil
	}
	c.writeID = h.Get(HeaderWrite)
	c.maybeRepeat = h.Get(HeaderTry) != TryFirst
	return checkWriteID(c.writeID)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, settings.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Problem{Code: CodeTooLarge, Reason: fmt.Sprintf("a document is at most %d bytes", settings.MaxBody)}
	}
	if err != nil {
		return nil, invalid("reading the body: %v", err)
	}
	return body, nil
}
