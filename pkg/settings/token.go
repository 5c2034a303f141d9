package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// UnknownTokenError says that no token of the team matches. It doesn't say
// whether the team exists.
type UnknownTokenError struct{ Team string }

func (e *UnknownTokenError) Error() string {
	return fmt.Sprintf("settings: no such token for team %s", truncate(e.Team))
}

// RoleError says that a token of the team may not do this.
type RoleError struct {
	Team  string
	Token string // its name
	Role  string // the role that was needed
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("settings: token %s of team %s has not the role %s", e.Token, truncate(e.Team), truncate(e.Role))
}

// HashToken is the hash that a team's document holds for a bearer token.
func HashToken(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// Authorize says whether bearer is a token of the team with the role; write
// implies read. The error is *UnknownTokenError or *RoleError. It compares
// hashes with all tokens of the team, in constant time. An empty bearer opens
// nothing: a team's document can't hold its hash.
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

// AuthorizePath says whether bearer may act on the document under a path: a
// token of its owner, see Path.Owner. A team's own document, with its share
// and its tokens, is read by the team and written by SystemTeam alone, which
// reads it too: no team gives itself a greater share.
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
