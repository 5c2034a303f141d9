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
	// HeaderWrite names a change, so that its outcome can be asked for later.
	// Only a repeat of the same change may carry the same name again.
	HeaderWrite = "Firlever-Write"
	// HeaderTry, set to TryFirst, promises that the change was not sent before,
	// so that a refusal can be told apart from an earlier try that landed.
	HeaderTry = "Firlever-Try"
	TryFirst  = "first"
)

const (
	maxBearerBytes = 512 // bytes
	maxPaths       = 64  // of one query
)

func invalid(format string, args ...any) *Problem {
	return &Problem{Code: CodeInvalid, Reason: fmt.Sprintf(format, args...)}
}

// FormatVersion writes a version as an entity tag.
func FormatVersion(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseVersion reads a version from the one value of an If-Match or ETag
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

// parseDocumentPath reads the path behind /v1/documents.
func parseDocumentPath(suffix string) (settings.Path, error) {
	p, err := settings.ParsePath("/" + suffix)
	if err != nil {
		return settings.Path{}, invalid("%v", err)
	}
	return p, nil
}

// parsePrefix reads the prefix of a list.
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

// parseSource says whether what is in force here is asked for, rather than
// what the platform holds.
func parseSource(query url.Values) (inForce bool, err error) {
	switch source := query.Get("source"); source {
	case "", "platform":
		return false, nil
	case "instance":
		return true, nil
	default:
		return false, invalid("source is platform or instance")
	}
}

// parsePaths reads the documents whose versions are asked for.
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

// checkWriteID checks a write's name. The platform's rules for it apply.
func checkWriteID(writeID string) error {
	if _, err := docstore.EncodeDocument(settings.Document{}, []string{writeID}); err != nil {
		return invalid("a write is named by at most 64 letters, digits, - and _")
	}
	return nil
}

// parseBearer reads the header Authorization; an absent one gives no token.
func parseBearer(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxBearerBytes {
		return "", &Problem{Code: CodeUnauthorized, Reason: "Authorization must be Bearer and one token"}
	}
	return token, nil
}

// change is one write to one document.
type change struct {
	path    settings.Path
	version uint64 // that the operator had read
	body    []byte
	deleted bool
	writeID string
	// maybeRepeat holds unless an earlier try with this name is ruled out.
	maybeRepeat bool
}

func (c change) document() settings.Document {
	return settings.Document{Path: c.path.String(), Version: c.version, Body: c.body, Deleted: c.deleted}
}

// readChange reads all of a change but its path, which was authorized before.
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
		err = invalid("a deletion has no body")
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
		return nil, invalid("the body could not be read: %v", err)
	}
	return body, nil
}
