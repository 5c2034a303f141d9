package operator

import (
	"crypto/subtle"
	"net/http"

	"github.com/firlever/firlever/pkg/settings"
)

// access is the identity of an operator's token and the settings in force that it is
// checked against.
type access struct {
	snapshot  *settings.Snapshot
	bearer    string
	team      string // team that the token belongs to
	tokenName string // for the log
	bootstrap bool
}

const bootstrapName = "bootstrap"

// authenticate returns the access of the token in a request. A missing or unknown token
// gives a *Problem with CodeUnauthorized.
func (s *Server) authenticate(r *http.Request) (access, error) {
	bearer, err := parseBearer(r.Header.Values("Authorization"))
	if err != nil {
		return access{}, err
	}
	a := access{snapshot: s.cfg.Snapshot(), bearer: bearer}
	if s.isBootstrap(a) {
		a.bootstrap = true
		a.team, a.tokenName = settings.SystemTeam, bootstrapName
		return a, nil
	}
	if bearer == "" || !a.findToken() {
		return access{}, &Problem{Code: CodeUnauthorized, Reason: "a team token is required: Authorization: Bearer <token>"}
	}
	return a, nil
}

// isBootstrap reports whether the token is the bootstrap token, which is valid until
// the system team has tokens of its own.
func (s *Server) isBootstrap(a access) bool {
	team, _ := a.snapshot.Team(settings.SystemTeam)
	if s.cfg.Bootstrap == "" || len(team.Tokens) > 0 {
		return false
	}
	hash := settings.HashToken(a.bearer)
	return subtle.ConstantTimeCompare([]byte(hash), []byte(s.cfg.Bootstrap)) == 1
}

// findToken looks up the token in all teams, the system team first, and reports whether
// it was found.
func (a *access) findToken() bool {
	hash := []byte(settings.HashToken(a.bearer))
	teams := append([]string{settings.SystemTeam}, a.snapshot.Teams()...)
	for _, name := range teams {
		team, _ := a.snapshot.Team(name)
		for _, t := range team.Tokens {
			if subtle.ConstantTimeCompare(hash, []byte(t.Hash)) == 1 {
				a.team, a.tokenName = name, name+"/"+t.Name
				return true
			}
		}
	}
	return false
}

// authorizePath returns nil if the token has the role for a path, and else a *Problem.
func (a access) authorizePath(p settings.Path, role string) error {
	if a.bootstrap {
		return nil
	}
	if err := a.snapshot.AuthorizePath(p, a.bearer, role); err != nil {
		return &Problem{Code: CodeForbidden, Reason: err.Error(), Path: p.String()}
	}
	return nil
}

// visible returns the part of a status that the token may read.
func (a access) visible(s Status) Status {
	if a.team == settings.SystemTeam {
		return s
	}
	return s.forTeam(a.team)
}
