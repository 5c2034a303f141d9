package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"
)

// Bounds of the values in documents.
const (
	MaxTimeout     = 10 * time.Minute
	MaxSlots       = 1_000_000 // requests; also bounds connections, limits and shift caps
	MaxShare       = 1000
	MaxRules       = 100
	MaxTokens      = 100
	MaxText        = 200 // bytes of a reason or a rule's prefix
	MaxInstanceID  = 128 // bytes
	DefaultShare   = 1
	hashHexSize    = 2 * sha256.Size
	rangeFault     = "is %d, must be from 1 to %d"
	nameFault      = "%q " + nameRule
	duplicateFault = "%q appears twice"
)

// Defaults sets missing fields: Domain defaults to the place's name.
func (p *Place) Defaults(name string) {
	if p.Domain == "" {
		p.Domain = name
	}
}

// Validate returns all faults as *FaultsError.
func (p *Place) Validate() error { return newFaultsError(p.faults()) }

func (p *Place) faults() []Fault {
	var l faultList
	l.check(ValidName(p.Region), "region", nameFault, truncate(p.Region))
	l.check(ValidName(p.Domain), "domain", nameFault, truncate(p.Domain))
	l.checkRange("limit", p.Limit, MaxSlots)
	l.check(p.Link >= 0, "link", "is %d bytes/s, must not be negative", p.Link)
	return l.faults
}

func (l *faultList) checkRange(field string, n, limit int) {
	l.check(n >= 1 && n <= limit, field, rangeFault, n, limit)
}

// Validate returns all faults as *FaultsError.
func (b *Blocks) Validate() error { return newFaultsError(b.faults()) }

func (b *Blocks) faults() []Fault {
	var l faultList
	seen := make(map[string]struct{}, len(b.Blocks))
	for i, block := range b.Blocks {
		if reason := block.prefixFault(); reason != "" {
			l.add(fmt.Sprintf("blocks[%d].prefix", i), "%s", reason)
		}
		if !ValidName(block.Place) {
			l.add(fmt.Sprintf("blocks[%d].place", i), nameFault, truncate(block.Place))
		}
		if _, ok := seen[block.Prefix]; ok {
			l.add(fmt.Sprintf("blocks[%d].prefix", i), duplicateFault, truncate(block.Prefix))
		}
		seen[block.Prefix] = struct{}{}
	}
	return l.faults
}

// prefixFault returns the fault of the block's prefix, or "". Only the canonical form of a
// prefix is valid, so equal prefixes have equal texts.
func (b Block) prefixFault() string {
	prefix, err := netip.ParsePrefix(b.Prefix)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not a prefix such as 10.1.0.0/16", truncate(b.Prefix))
	case prefix.Addr().Is4In6():
		return fmt.Sprintf("%q is an IPv4 prefix written as IPv6", truncate(b.Prefix))
	case prefix.Masked().String() != b.Prefix:
		return fmt.Sprintf("%q must be written %s", truncate(b.Prefix), prefix.Masked())
	}
	return ""
}

// Defaults sets missing fields: Share defaults to DefaultShare.
func (t *Team) Defaults() {
	if t.Share == 0 {
		t.Share = DefaultShare
	}
}

// Validate returns all faults as *FaultsError.
func (t *Team) Validate() error { return newFaultsError(t.faults()) }

func (t *Team) faults() []Fault {
	var l faultList
	l.checkRange("share", t.Share, MaxShare)
	l.check(len(t.Tokens) <= MaxTokens, "tokens", "has %d tokens, at most %d", len(t.Tokens), MaxTokens)
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	for i, token := range t.Tokens {
		field := fmt.Sprintf("tokens[%d]", i)
		l.addNested(field, token.faults())
		l.check(!names[token.Name], field+".name", duplicateFault, truncate(token.Name))
		l.check(!hashes[token.Hash], field+".hash", "hash appears twice")
		names[token.Name] = true
		hashes[token.Hash] = true
	}
	return l.faults
}

// Validate returns all faults as *FaultsError.
func (t Token) Validate() error { return newFaultsError(t.faults().faults) }

func (t Token) faults() faultList {
	var l faultList
	l.check(ValidName(t.Name), "name", nameFault, truncate(t.Name))
	l.check(t.Role == RoleRead || t.Role == RoleWrite, "role", "%q is not a role: %s or %s", truncate(t.Role), RoleRead, RoleWrite)
	raw, err := hex.DecodeString(t.Hash)
	l.check(err == nil && len(t.Hash) == hashHexSize && t.Hash == strings.ToLower(t.Hash),
		"hash", "must be a SHA-256 in %d lower-case hex digits", hashHexSize)
	empty := sha256.Sum256(nil)
	l.check(string(raw) != string(empty[:]), "hash", "is the hash of an empty token")
	return l
}

// Validate returns all faults as *FaultsError.
func (s *Service) Validate() error { return newFaultsError(s.faults()) }

func (s *Service) faults() []Fault {
	var l faultList
	l.check(s.Class == ClassInteractive || s.Class == ClassBulk,
		"class", "%q is not a class: %s or %s", truncate(s.Class), ClassInteractive, ClassBulk)
	timeout := time.Duration(s.Timeout)
	l.check(timeout >= time.Millisecond && timeout <= MaxTimeout,
		"timeout", "is %v, must be from 1ms to %v", timeout, MaxTimeout)
	l.checkRange("shift", s.Shift, MaxSlots)
	l.check(len(s.Rules) <= MaxRules, "rules", "has %d rules, at most %d", len(s.Rules), MaxRules)
	for i, r := range s.Rules {
		l.addNested(fmt.Sprintf("rules[%d]", i), r.faults())
	}
	l.check(len(s.Places) > 0, "places", "names no place")
	for _, place := range slices.Sorted(maps.Keys(s.Places)) {
		l.check(ValidName(place), "places", nameFault, truncate(place))
		l.addNested("places."+truncate(place), s.Places[place].faults())
	}
	l.checkDuplicateTargets(s)
	return l.faults
}

// checkDuplicateTargets adds a fault for each name or address that a service uses twice, as the
// slots of a target would be counted twice.
func (l *faultList) checkDuplicateTargets(s *Service) {
	names := make(map[string]bool)
	addresses := make(map[netip.AddrPort]bool)
	for _, place := range slices.Sorted(maps.Keys(s.Places)) {
		for i, t := range s.Places[place].Targets {
			field := fmt.Sprintf("places.%s.targets[%d]", truncate(place), i)
			l.check(!names[t.Name], field+".name", duplicateFault, truncate(t.Name))
			names[t.Name] = true
			if a, err := t.AddrPort(); err == nil {
				l.check(!addresses[a], field+".address", duplicateFault, truncate(t.Address))
				addresses[a] = true
			}
		}
	}
}

// Validate returns all faults as *FaultsError.
func (r Rule) Validate() error { return newFaultsError(r.faults().faults) }

func (r Rule) faults() faultList {
	var l faultList
	method := strings.IndexFunc(r.Method, func(c rune) bool { return c < 'A' || c > 'Z' }) < 0
	l.check(method && len(r.Method) <= MaxName, "method", "%q is not a method such as POST", truncate(r.Method))
	ok := r.Prefix == "" || len(r.Prefix) <= MaxText && isUnambiguousPath(r.Prefix)
	l.check(ok, "prefix", "%q must start with / and have no empty, '.' or '..' part and no escape", truncate(r.Prefix))
	return l
}

// Validate returns all faults as *FaultsError.
func (s Site) Validate() error { return newFaultsError(s.faults().faults) }

func (s Site) faults() faultList {
	var l faultList
	l.check(len(s.Targets) > 0, "targets", "names no target")
	sum := 0
	for i, t := range s.Targets {
		l.addNested(fmt.Sprintf("targets[%d]", i), t.faults())
		sum += min(max(t.Slots, 0), MaxSlots)
	}
	l.check(s.Limit >= 1, "limit", "is %d, must be at least 1", s.Limit)
	l.check(s.Limit <= sum, "limit", "is %d, over the %d slots of the site's targets", s.Limit, sum)
	return l
}

// Validate returns all faults as *FaultsError.
func (t Target) Validate() error { return newFaultsError(t.faults().faults) }

func (t Target) faults() faultList {
	var l faultList
	l.check(ValidName(t.Name), "name", nameFault, truncate(t.Name))
	_, err := t.AddrPort()
	l.check(err == nil, "address", "%q is not IP:port such as 10.1.0.7:9000", truncate(t.Address))
	l.checkRange("slots", t.Slots, MaxSlots)
	l.checkRange("connections", t.Connections, MaxSlots)
	l.check(t.Slots <= t.Connections, "slots", "is %d, over the %d connections", t.Slots, t.Connections)
	return l
}

// AddrPort parses the target's address. It returns an *AddressError for an
// address that can't be dialled, including host names and port 0.
func (t Target) AddrPort() (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(t.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		return netip.AddrPort{}, &AddressError{Address: t.Address}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// Validate returns all faults as *FaultsError. team is empty for a drain at /drains.
func (d *Drain) Validate(team string) error { return newFaultsError(d.faults(team)) }

func (d *Drain) faults(team string) []Fault {
	var l faultList
	set := 0
	for _, s := range []string{d.Place, d.Instance, d.Target} {
		if s != "" {
			set++
		}
	}
	l.check(set == 1, "", "names %d of place, instance and target, must name one", set)
	l.check(d.Place == "" || ValidName(d.Place), "place", nameFault, truncate(d.Place))
	l.check(d.Target == "" || ValidName(d.Target), "target", nameFault, truncate(d.Target))
	l.check(d.Instance == "" || validInstance(d.Instance), "instance", "%q is not an instance's id", truncate(d.Instance))
	l.check(d.Instance == "" || team == "", "instance", "serves all teams: drain it under %s", DrainsPrefix)
	l.check(d.Instance == "" || d.Service == "", "service", "an instance is drained for all services")
	l.check(d.Target == "" || d.Service != "", "service", "must name the service of the target")
	l.check(team == "" || d.Service != "", "service", "a team drains only its own services")
	_, ok := d.ServiceID(team)
	l.check(d.Service == "" || ok, "service", "%q must be written %s", truncate(d.Service), serviceForm(team))
	l.check(validText(d.Reason), "reason", "must be at most %d bytes on one line", MaxText)
	return l.faults
}

func serviceForm(team string) string {
	if team == "" {
		return "team/name"
	}
	return "by its name alone"
}

// ServiceID returns the service that the drain names, and whether its name is
// valid: team/name at /drains, and only the name for a drain of a team.
func (d *Drain) ServiceID(team string) (ServiceID, bool) {
	if team != "" {
		return ServiceID{Team: team, Name: d.Service}, ValidName(d.Service)
	}
	id, err := ParseServiceID(d.Service)
	return id, err == nil
}

func validInstance(id string) bool {
	bad := strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' })
	return bad < 0 && len(id) <= MaxInstanceID
}

func validText(s string) bool {
	return len(s) <= MaxText && strings.IndexFunc(s, unicode.IsControl) < 0
}
