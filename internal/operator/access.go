package operator

import (
	"crypto/subtle"
	"net/http"

	"github.com/firlever/firlever/pkg/settings"
)

// access is what one operator's token opens, by the settings in force.
type access struct {
	snapshot  *settings.Snapshot
	bearer    string
	team      string // of the token
	tokenName string // of the token, for the log
	bootstrap bool
}

const bootstrapName = "bootstrap"

// authenticate finds out whose token a request carries. A token of no team gives a
// *Problem with CodeUnauthorized.
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
		return access{}, &Problem{Code: CodeUnauthorized, Reason: "a token of a team is needed: Authorization: Bearer <token>"}
	}
	return a, nil
}

// isBootstrap says whether the token is the one that serves until the system
// team has its own.
func (s *Server) isBootstrap(a access) bool {
	team, _ := a.snapshot.Team(settings.SystemTeam)
	if s.cfg.Bootstrap == "" || len(team.Tokens) > 0 {
		return false
	}
	hash := settings.HashToken(a.bearer)
	return subtle.ConstantTimeCompare([]byte(hash), []byte(s.cfg.Bootstrap)) == 1
}

// findToken looks for the token in all teams, the system's first.
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

// authorizePath says whether the token opens a path for a role. The error is a *Problem.
func (a access) authorizePath(p settings.Path, role string) error {
	if a.bootstrap {
		return nil
	}
	if err := a.snapshot.AuthorizePath(p, a.bearer, role); err != nil {
		return &Problem{Code: CodeForbidden, Reason: err.Error(), Path: p.String()}
	}
	return nil
}

// visible cuts a status to what the token may see.
func (a access) visible(s Status) Status {
	if a.team == settings.SystemTeam {
		return s
	}
	return s.forTeam(a.team)
}
