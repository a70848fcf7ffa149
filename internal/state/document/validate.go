package document

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"coltsfootpath.example/coltsfootpath/internal/findings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (d *Document) validate(found *findings.List) {
	services := validateNames(found, "services", len(d.Services), func(i int) string { return d.Services[i].Name })
	validateNames(found, "workspaces", len(d.Workspaces), func(i int) string { return d.Workspaces[i].Name })
	validateNames(found, "moves", len(d.Moves), func(i int) string { return d.Moves[i].Name })
	if len(services) == 0 {
		found.Addf("services", "must name at least one service")
	}
	for i := range d.Services {
		d.Services[i].validate(fmt.Sprintf("services[%d]", i), found)
	}
	for i := range d.Workspaces {
		d.validateWorkspace(i, found)
	}
	movedBy := map[string]int{}
	for i := range d.Moves {
		d.validateMove(i, movedBy, found)
	}
}

// validateNames adds a finding for every malformed or repeated name, and returns
// the set of names.
func validateNames(found *findings.List, path string, n int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].name", path, i)
		if !namePattern.MatchString(name(i)) {
			found.Addf(at, "%q is not a name of lower-case letters, digits, '.', '_' and '-'", name(i))
		}
		if seen[name(i)] {
			found.Addf(at, "%q appears twice", name(i))
		}
		seen[name(i)] = true
	}
	return seen
}

func (s *Service) validate(path string, found *findings.List) {
	if s.Kind != ModelService && s.Kind != PlainService {
		found.Addf(path+".kind", "must be %q or %q, not %q", ModelService, PlainService, s.Kind)
	}
	versions := validateNames(found, path+".versions", len(s.Versions), func(i int) string { return s.Versions[i].Name })
	if !versions[s.Serving] {
		found.Addf(path+".serving", "%q is not a version of the service", s.Serving)
	}
	for i, v := range s.Versions {
		if s.Kind == ModelService && v.Model == "" {
			found.Addf(fmt.Sprintf("%s.versions[%d].model", path, i), "is required for a model service")
		}
	}
	if len(s.Routes) == 0 {
		found.Addf(path+".routes", "must name at least one route")
	}
	validateNames(found, path+".routes", len(s.Routes), func(i int) string { return s.Routes[i].Name })
	for i := range s.Routes {
		s.validateRoute(i, path, found)
	}
}

func (s *Service) validateRoute(i int, path string, found *findings.List) {
	r := s.Routes[i]
	at := fmt.Sprintf("%s.routes[%d]", path, i)
	switch r.Priority {
	case Interactive, Normal, Batch:
	default:
		found.Addf(at+".priority", "must be %q, %q or %q, not %q", Interactive, Normal, Batch, r.Priority)
	}
	if s.Kind == ModelService && !r.Repeatable {
		found.Addf(at+".repeatable", "must be true for a model service")
	}
}

func (d *Document) validateWorkspace(i int, found *findings.List) {
	w := d.Workspaces[i]
	path := fmt.Sprintf("workspaces[%d]", i)
	if sum, err := hex.DecodeString(w.TokenSHA256); err != nil || len(sum) != 32 || strings.ToLower(w.TokenSHA256) != w.TokenSHA256 {
		found.Addf(path+".token_sha256", "must be 64 lower-case hex digits")
	}
	if w.RequestsPerSecond == 0 {
		found.Addf(path+".requests_per_second", "is required")
	}
	for j, name := range w.Routes {
		if !d.hasRoute(name) {
			found.Addf(fmt.Sprintf("%s.routes[%d]", path, j), "%q is not a service/route of this document", name)
		}
	}
}

func (d *Document) hasRoute(name string) bool {
	service, route, ok := strings.Cut(name, "/")
	if !ok {
		return false
	}
	s, ok := d.Service(service)
	if !ok {
		return false
	}
	_, ok = s.Route(route)
	return ok
}

func (d *Document) validateMove(i int, movedBy map[string]int, found *findings.List) {
	m := d.Moves[i]
	path := fmt.Sprintf("moves[%d]", i)
	if other, ok := movedBy[m.Service]; ok {
		found.Addf(path+".service", "%q is already moved by moves[%d]", m.Service, other)
	}
	movedBy[m.Service] = i
	if s, ok := d.Service(m.Service); !ok {
		found.Addf(path+".service", "%q is not a service of this document", m.Service)
	} else {
		m.validateVersions(s, path, found)
	}
	if m.Start.IsZero() {
		found.Addf(path+".start", "is required")
	}
	if !m.Deadline.After(m.Start) {
		found.Addf(path+".deadline", "must be after the start")
	}
}

func (m *Move) validateVersions(s *Service, path string, found *findings.List) {
	if _, ok := s.Version(m.From); !ok {
		found.Addf(path+".from", "%q is not a version of service %q", m.From, s.Name)
	}
	if _, ok := s.Version(m.To); !ok {
		found.Addf(path+".to", "%q is not a version of service %q", m.To, s.Name)
	}
	if m.From == m.To {
		found.Addf(path+".to", "is the same version as from")
	}
}
