package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// UnknownTokenError reports that no token of the team matches. It doesn't
// reveal whether the team exists.
type UnknownTokenError struct{ Team string }

func (e *UnknownTokenError) Error() string {
	return fmt.Sprintf("settings: no such token for team %s", truncate(e.Team))
}

// RoleError reports that a token of the team lacks the required role.
type RoleError struct {
	Team  string
	Token string // name of the token
	Role  string // required role
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("settings: token %s of team %s does not have the role %s", e.Token, truncate(e.Team), truncate(e.Role))
}

// HashToken returns the hash that a team's document holds for a bearer token.
func HashToken(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// Authorize checks that bearer is a token of the team with the role; write
// implies read. The error is *UnknownTokenError or *RoleError. Authorize compares
// the hash with those of all tokens of the team, each in constant time. An empty
// bearer grants no access, as a team's document can't hold its hash.
func (s *Snapshot) Authorize(team, bearer, role string) error {
	hash := []byte(HashToken(bearer))
	var found Token
	for _, t := range s.teams[team].Tokens {
		if subtle.ConstantTimeCompare(hash, []byte(t.Hash)) == 1 {
			found = t
		}
	}
	switch {
	case found.Hash == "":
		return &UnknownTokenError{Team: team}
	case found.Role == RoleWrite && (role == RoleWrite || role == RoleRead):
		return nil
	case found.Role == RoleRead && role == RoleRead:
		return nil
	}
	return &RoleError{Team: team, Token: found.Name, Role: role}
}

// AuthorizePath checks that bearer has the role for the document under a path:
// it has to be a token of the document's owner, see Path.Owner. A team's own
// document, with its share and tokens, can be read by the team and SystemTeam
// but only be written by SystemTeam, so that no team can increase its share.
func (s *Snapshot) AuthorizePath(p Path, bearer, role string) error {
	if p.Kind != KindTeam {
		return s.Authorize(p.Owner(), bearer, role)
	}
	if s.Authorize(SystemTeam, bearer, role) == nil {
		return nil
	}
	if role == RoleRead {
		return s.Authorize(p.Team, bearer, role)
	}
	if err := s.Authorize(p.Team, bearer, RoleRead); err != nil {
		return err
	}
	return &RoleError{Team: p.Team, Token: "of the team", Role: role}
}
