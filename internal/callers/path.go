package callers

import (
	"cmp"
	"net/http"
	"net/url"
	"strings"

	"github.com/firlever/firlever/pkg/settings"
)

// route is what a request's URL says.
type route struct {
	service settings.ServiceID
	rawPath     string // path below the service as it came, escapes and all; starts with "/"
	path    string // what the rules of idempotency look at
}

// newRoute takes /prefix/team/service/rest apart.
func newRoute(u *url.URL, prefix string) (route, error) {
	whole := cmp.Or(u.RawPath, u.EscapedPath())
	team, rest, ok := strings.Cut(strings.TrimPrefix(whole, prefix), "/")
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
		return route{}, &BadRequestError{Fault: "path has characters that a URL can't have"}
	}
	r.path = pathForRules(r.rawPath)
	return r, nil
}

// pathForRules is the decoded path. One with an escaped slash stays as it came, since
// a target could read it as another path than the rules do; the rules trust no
// path with an escape in it.
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

// outgoingURL is the URL at which another server gets the request, with the path as
// the caller wrote it. Opaque does that, but would be taken for a host's name
// after two slashes.
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

// refusedMethods make no sense through an entry instance.
func methodRefused(method string) bool {
	return method == http.MethodConnect || method == http.MethodTrace
}
