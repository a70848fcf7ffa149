// Package configcheck checks a configuration before it is sent: entries that can never match,
// limits that contradict each other, and what differs from the configuration in force.
// Everything that makes a configuration unreadable is found by the code that the processes
// read it with.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

// Report is the result of a check.
type Report struct {
	// Errors are problems because of which requests fail, and Warnings entries that have
	// another effect than they seem to have.
	Errors   []findings.Finding `json:"errors,omitempty"`
	Warnings []findings.Finding `json:"warnings,omitempty"`
	// Changes are the differences from the configuration in force.
	Changes []Change `json:"changes,omitempty"`
}

// maxPriority is the least urgent priority of requests.
const maxPriority = 9

// checker collects the findings on one configuration.
type checker struct {
	doc              *deployment.Document
	errors, warnings findings.List
}

// Check returns the findings on a configuration. Their places are paths of the fields of
// deployment.Document, in lower case, with services by name.
func Check(doc *deployment.Document) Report {
	c := &checker{doc: doc}
	c.checkRoutes()
	for _, name := range sortedKeys(doc.Services) {
		c.checkService(doc.Services[name])
	}
	c.checkWorkspaces()
	c.checkLimits()
	return Report{Errors: c.errors.Items(), Warnings: c.warnings.Items()}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// matchKey identifies the requests that a route matches.
type matchKey struct{ host, prefix string }

func keyOf(r *deployment.Route) matchKey {
	return matchKey{strings.ToLower(r.Host), r.PathPrefix}
}

func (c *checker) checkRoutes() {
	if len(c.doc.Routes) == 0 {
		c.warnings.Addf("routes", "is empty: every request is rejected with 404")
	}
	first, names := map[matchKey]int{}, map[string]int{}
	for i := range c.doc.Routes {
		r := &c.doc.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if other, ok := first[keyOf(r)]; ok {
			c.errors.Addf(path+".pathprefix", "never matches: routes[%d] has the same host %q and prefix %q", other, r.Host, r.PathPrefix)
		} else {
			first[keyOf(r)] = i
		}
		if other, ok := names[r.Name]; ok {
			c.warnings.Addf(path+".name", "%q is also the name of routes[%d]: metrics and logs don't tell them apart", r.Name, other)
		} else {
			names[r.Name] = i
		}
		c.checkRoute(r, path)
		c.checkTargets(r, path)
	}
}

func (c *checker) checkRoute(r *deployment.Route, path string) {
	if r.Host == "" {
		c.warnings.Addf(path+".host", "is empty: only requests without a host match")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.errors.Addf(path+".pathprefix", "never matches: %q does not begin with a slash", r.PathPrefix)
	} else if !strings.HasSuffix(r.PathPrefix, "/") {
		c.errors.Addf(path+".pathprefix", "%q does not end with a slash", r.PathPrefix)
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		c.warnings.Addf(path+".priority", "%d counts as %d", r.Priority, min(max(r.Priority, 0), maxPriority))
	}
	c.checkTimes(r, path)
	if r.Kind != deployment.Stream {
		if r.PauseTarget > 0 {
			c.warnings.Addf(path+".pausetarget", "has no effect on a route that is no stream")
		}
		if r.Resumable {
			c.warnings.Addf(path+".resumable", "has no effect on a route that is no stream")
		}
	}
}

func (c *checker) checkTimes(r *deployment.Route, path string) {
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"timeout", r.Timeout}, {"latencytarget", r.LatencyTarget}, {"pausetarget", r.PauseTarget}} {
		if d.value < 0 {
			c.errors.Addf(path+"."+d.name, "%v is negative", d.value)
		}
	}
	if r.Timeout <= 0 {
		return
	}
	switch {
	case r.LatencyTarget > r.Timeout:
		c.warnings.Addf(path+".latencytarget", "%v is longer than the timeout of %v: no answer is late", r.LatencyTarget, r.Timeout)
	case r.MaxServers > 1 && r.LatencyTarget > 0 && time.Duration(r.MaxServers-1)*r.LatencyTarget >= r.Timeout:
		c.warnings.Addf(path+".maxservers", "%d servers that each take the target of %v don't fit into the timeout of %v", r.MaxServers, r.LatencyTarget, r.Timeout)
	}
	if r.PauseTarget > r.Timeout {
		c.warnings.Addf(path+".pausetarget", "%v is longer than the timeout of %v: no pause is too long", r.PauseTarget, r.Timeout)
	}
}

func (c *checker) checkTargets(r *deployment.Route, path string) {
	if len(r.Targets) == 0 {
		c.errors.Addf(path+".targets", "is empty: every request is rejected")
	}
	total, seen := 0, map[string]bool{}
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	for i, t := range r.Targets {
		at := fmt.Sprintf("%s.targets[%d]", path, i)
		if c.doc.Services[t.Service] == nil {
			c.errors.Addf(at+".service", "%q is not a service of this configuration", t.Service)
		}
		if seen[t.Service] {
			c.warnings.Addf(at+".service", "%q appears twice: the weights add up", t.Service)
		}
		seen[t.Service] = true
		switch {
		case t.Weight < 0:
			c.errors.Addf(at+".weight", "%d is negative: the service gets no requests", t.Weight)
		case t.Weight == 0 && total > 0:
			c.warnings.Addf(at+".weight", "is 0: %q gets no requests of this route", t.Service)
		case total == 0 && i == 0:
			c.warnings.Addf(at+".weight", "all weights are 0: %q gets all requests of this route", t.Service)
		}
	}
}

func (c *checker) checkService(s *deployment.Service) {
	path := fmt.Sprintf("services[%s]", s.Name)
	isUsed := slices.ContainsFunc(c.doc.Routes, func(r deployment.Route) bool {
		return slices.ContainsFunc(r.Targets, func(t deployment.Target) bool { return t.Service == s.Name })
	})
	if !isUsed {
		c.warnings.Addf(path, "no route sends requests to it")
	}
	if s.MaxConnections < 0 {
		c.errors.Addf(path+".maxconnections", "%d is negative", s.MaxConnections)
	}
	if m := s.Model; m != nil {
		if m.Slots < 0 || m.MemoryTokens < 0 {
			c.errors.Addf(path+".model", "%d slots and a memory of %d tokens: neither may be negative", m.Slots, m.MemoryTokens)
		}
		if s.MaxConnections > 0 && m.Slots > s.MaxConnections {
			c.warnings.Addf(path+".model.slots", "%d slots are more than the %d connections that a server accepts", m.Slots, s.MaxConnections)
		}
	}
	if s.Scaling != nil {
		c.checkScaling(s.Scaling, path+".scaling")
	}
}

func (c *checker) checkScaling(s *deployment.Scaling, path string) {
	switch {
	case s.Min < 0 || s.Max < 0:
		c.errors.Addf(path, "min %d and max %d must not be negative", s.Min, s.Max)
	case s.Min > s.Max:
		c.errors.Addf(path+".min", "%d is more than max %d", s.Min, s.Max)
	case s.Max == 0:
		c.warnings.Addf(path+".max", "is 0: no server is ordered")
	}
	if s.BootTime < 0 {
		c.errors.Addf(path+".boottime", "%v is negative", s.BootTime)
	}
	if s.ReclaimablePrice < 0 {
		c.errors.Addf(path+".reclaimableprice", "%v is negative", s.ReclaimablePrice)
	}
	for _, zone := range sortedKeys(s.ZonePrices) {
		if price := s.ZonePrices[zone]; price < 0 {
			c.errors.Addf(fmt.Sprintf("%s.zoneprices[%s]", path, zone), "%v is negative", price)
		}
	}
}

func (c *checker) checkWorkspaces() {
	keys := make([]int, len(c.doc.Workspaces))
	for _, i := range c.doc.Keys {
		keys[i]++
	}
	names := map[string]bool{}
	for i := range c.doc.Workspaces {
		w := &c.doc.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		if names[w.Name] {
			c.errors.Addf(path+".name", "%q is also the name of an earlier workspace: they share one quota", w.Name)
		}
		names[w.Name] = true
		if keys[i] == 0 {
			c.warnings.Addf(path+".keys", "is empty: no request belongs to workspace %q", w.Name)
		}
		c.checkQuota(w, path)
	}
	allPublic := !slices.ContainsFunc(c.doc.Routes, func(r deployment.Route) bool { return !r.Public })
	if len(c.doc.Workspaces) > 0 && len(c.doc.Routes) > 0 && allPublic {
		c.warnings.Addf("workspaces", "all routes are public: no workspace has an effect")
	}
}

func (c *checker) checkQuota(w *deployment.Workspace, path string) {
	switch {
	case w.QuotaPerSecond < 0 || w.QuotaBurst < 0:
		c.errors.Addf(path+".quotapersecond", "%v with a burst of %v: neither may be negative", w.QuotaPerSecond, w.QuotaBurst)
	case w.QuotaPerSecond == 0 && w.QuotaBurst > 0:
		c.warnings.Addf(path+".quotaburst", "%v has no effect without a rate: the workspace has no limit", w.QuotaBurst)
	case w.QuotaPerSecond > 0 && w.QuotaInTokens && w.QuotaPerSecond+w.QuotaBurst < float64(w.DefaultTokens):
		c.warnings.Addf(path+".quotaburst", "a rate of %v and a burst of %v don't fit a request without a token count, which counts %d", w.QuotaPerSecond, w.QuotaBurst, w.DefaultTokens)
	case w.QuotaPerSecond > 0 && !w.QuotaInTokens && w.QuotaPerSecond+w.QuotaBurst < 1:
		c.warnings.Addf(path+".quotaburst", "a rate of %v and a burst of %v don't fit one request", w.QuotaPerSecond, w.QuotaBurst)
	}
	if w.HasPriority && w.Priority < 0 {
		c.warnings.Addf(path+".priority", "%d counts as 0", w.Priority)
	}
}

func (c *checker) checkLimits() {
	l := c.doc.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 {
		c.errors.Addf("limits", "%d bytes of headers and %d of a body: neither may be negative", l.HeaderBytes, l.BodyBytes)
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		c.errors.Addf("limits", "a header timeout of %v and an idle timeout of %v: neither may be negative", l.HeaderTimeout, l.IdleTimeout)
	}
	if l.HeaderBytes > 0 && l.BodyBytes > 0 && l.HeaderBytes > l.BodyBytes {
		c.warnings.Addf("limits.headerbytes", "%d bytes of headers are more than the %d of a body", l.HeaderBytes, l.BodyBytes)
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.warnings.Addf("limits.headertimeout", "%v is longer than the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
}
