package callers

import (
	"cmp"
	"net/http"
	"net/url"
	"strings"

	"github.com/firlever/firlever/pkg/settings"
)

// route is the service and path that a request's URL names.
type route struct {
	service settings.ServiceID
	rawPath string // path below the service as received, still escaped; starts with "/"
	path    string // path that the idempotency rules match
}

// newRoute parses /prefix/team/service/rest. It returns a *BadRequestError.
func newRoute(u *url.URL, prefix string) (route, error) {
	escapedPath := cmp.Or(u.RawPath, u.EscapedPath())
	team, rest, ok := strings.Cut(strings.TrimPrefix(escapedPath, prefix), "/")
	name, rest, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return route{}, &BadRequestError{Fault: "path names no service"}
	}
	id, err := settings.ParseServiceID(team + "/" + name)
	if err != nil {
		return route{}, &BadRequestError{Fault: err.Error()}
	}
	r := route{service: id, rawPath: "/" + rest}
	if strings.HasPrefix(r.rawPath, "//") && (&url.URL{Path: unescape(r.rawPath), RawPath: r.rawPath}).EscapedPath() != r.rawPath {
		return route{}, &BadRequestError{Fault: "path contains characters that are invalid in a URL"}
	}
	r.path = pathForRules(r.rawPath)
	return r, nil
}

// pathForRules returns the decoded path. A path with an escaped slash stays as received, because a
// target could interpret it as another path than the rules do. The rules treat no path that still
// contains an escape as idempotent.
func pathForRules(raw string) string {
	if strings.Contains(strings.ToLower(raw), "%2f") {
		return raw
	}
	return unescape(raw)
}

func unescape(raw string) string {
	p, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return p
}

// outgoingURL returns the URL of the request at another server, with the path exactly as the caller
// wrote it. Opaque preserves the path, but one that begins with two slashes would be parsed as a
// host name.
func (r route) outgoingURL(address, prefix string, from *url.URL) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, RawQuery: from.RawQuery, ForceQuery: from.ForceQuery}
	raw := prefix + r.rawPath
	if strings.HasPrefix(raw, "//") {
		u.Path, u.RawPath = unescape(raw), raw
	} else {
		u.Opaque = raw
	}
	return u
}

// methodRefused reports whether a method can't be passed on by an entry instance.
func methodRefused(method string) bool {
	return method == http.MethodConnect || method == http.MethodTrace
}
