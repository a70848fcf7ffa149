package configcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

// Change is a difference between two configurations, by its meaning.
type Change struct {
	// Subject is what changes, such as `route summaries`, and What the change.
	Subject string `json:"subject"`
	What    string `json:"what"`
	// Effect is what the change does to requests, empty if it does nothing to requests that
	// were served before.
	Effect string `json:"effect,omitempty"`
}

// Effects on requests. Requests keep the configuration with which they were admitted.
const (
	effectNotFound     = "new requests get 404; admitted ones are finished"
	effectUnauthorized = "new requests with the key get 401; admitted ones are finished"
	effectNewTarget    = "new requests go by the new targets; admitted ones stay with their service"
	effectQuotaLowered = "requests beyond the new quota get 429; admitted ones are finished"
	effectLimitLowered = "larger requests are rejected"
	effectScaling      = "requests in flight are not affected; orders of servers follow the new bounds"
	effectNewRequests  = "new requests only"
)

// comparison collects the changes from old to new.
type comparison struct {
	old, new *deployment.Document
	changes  []Change
}

// Compare returns what changes from the configuration old, which is in force, to new.
func Compare(old, new *deployment.Document) []Change {
	c := &comparison{old: old, new: new}
	c.compareRoutes()
	c.compareServices()
	c.compareWorkspaces()
	c.compareKeys()
	c.compareLimits()
	c.compareVersions()
	return c.changes
}

func (c *comparison) add(subject, effect, format string, args ...any) {
	c.changes = append(c.changes, Change{Subject: subject, What: fmt.Sprintf(format, args...), Effect: effect})
}

func (c *comparison) compareVersions() {
	if isSame := c.new.Version == c.old.Version && len(c.changes) == 0; c.new.Version <= c.old.Version && !isSame {
		c.add("version", "it does not replace the configuration in force", "%d is not higher than %d", c.new.Version, c.old.Version)
	}
}

// byMatch returns the routes by what they match; of two with the same match, the one that is
// used.
func byMatch(doc *deployment.Document) map[matchKey]*deployment.Route {
	m := map[matchKey]*deployment.Route{}
	for i := range doc.Routes {
		if r := &doc.Routes[i]; m[keyOf(r)] == nil {
			m[keyOf(r)] = r
		}
	}
	return m
}

func (c *comparison) compareRoutes() {
	old, updated := byMatch(c.old), byMatch(c.new)
	for i := range c.old.Routes {
		r := &c.old.Routes[i]
		if old[keyOf(r)] == r && updated[keyOf(r)] == nil {
			c.routeRemoved(r)
		}
	}
	for i := range c.new.Routes {
		r := &c.new.Routes[i]
		if updated[keyOf(r)] != r {
			continue
		}
		if before := old[keyOf(r)]; before == nil {
			c.routeAdded(r)
		} else {
			c.compareRoute(before, r)
		}
	}
}

func routeSubject(r *deployment.Route) string {
	return fmt.Sprintf("route %s (%s%s)", r.Name, r.Host, r.PathPrefix)
}

func (c *comparison) routeRemoved(r *deployment.Route) {
	if next := c.new.Route(r.Host, r.PathPrefix); next != nil {
		c.add(routeSubject(r), "new requests go by route "+next.Name+"; admitted ones are finished", "removed")
		return
	}
	c.add(routeSubject(r), effectNotFound, "removed")
}

func (c *comparison) routeAdded(r *deployment.Route) {
	effect := ""
	if before := c.old.Route(r.Host, r.PathPrefix); before != nil {
		effect = "takes new requests from route " + before.Name
	}
	c.add(routeSubject(r), effect, "added: %v to %s", r.Kind, targetNames(r.Targets))
}

func targetNames(targets []deployment.Target) string {
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = fmt.Sprintf("%s:%d", t.Service, t.Weight)
	}
	return strings.Join(names, ",")
}

func (c *comparison) compareRoute(old, updated *deployment.Route) {
	subject := routeSubject(updated)
	if !slices.Equal(old.Targets, updated.Targets) {
		what := "targets"
		if len(updated.Targets) > len(old.Targets) {
			what = "split"
		}
		c.add(subject, effectNewTarget, "%s: %s, was %s", what, targetNames(updated.Targets), targetNames(old.Targets))
	}
	if old.Kind != updated.Kind || old.Resumable != updated.Resumable {
		c.add(subject, effectNewRequests, "kind: %v (resumable %v), was %v (resumable %v)", updated.Kind, updated.Resumable, old.Kind, old.Resumable)
	}
	if old.Public != updated.Public {
		effect := "no key is needed any more"
		if old.Public {
			effect = "new requests without a known key get 401"
		}
		c.add(subject, effect, "public: %v, was %v", updated.Public, old.Public)
	}
	c.compareValue(subject, "name", old.Name, updated.Name, "")
	c.compareValue(subject, "timeout", old.Timeout, updated.Timeout, effectNewRequests)
	c.compareValue(subject, "latency target", old.LatencyTarget, updated.LatencyTarget, effectNewRequests)
	c.compareValue(subject, "pause target", old.PauseTarget, updated.PauseTarget, effectNewRequests)
	c.compareValue(subject, "priority", old.Priority, updated.Priority, effectNewRequests)
	c.compareValue(subject, "max servers", old.MaxServers, updated.MaxServers, effectNewRequests)
}

func (c *comparison) compareValue(subject, name string, old, updated any, effect string) {
	if old != updated {
		c.add(subject, effect, "%s: %v, was %v", name, updated, old)
	}
}

func (c *comparison) compareServices() {
	for _, name := range sortedKeys(c.old.Services) {
		if c.new.Services[name] == nil {
			c.add("service "+name, "no new requests reach it; its servers are no longer ordered", "removed")
		}
	}
	for _, name := range sortedKeys(c.new.Services) {
		old, updated := c.old.Services[name], c.new.Services[name]
		if old == nil {
			c.add("service "+name, "", "added")
			continue
		}
		c.compareService(old, updated)
	}
}

func (c *comparison) compareService(old, updated *deployment.Service) {
	subject := "service " + updated.Name
	c.compareValue(subject, "health path", old.HealthPath, updated.HealthPath, effectNewRequests)
	c.compareValue(subject, "connections of each server", old.MaxConnections, updated.MaxConnections, effectNewRequests)
	if !reflect.DeepEqual(old.Model, updated.Model) {
		c.add(subject, effectNewRequests, "model: %+v, was %+v", valueOf(updated.Model), valueOf(old.Model))
	}
	if !reflect.DeepEqual(old.Scaling, updated.Scaling) {
		c.add(subject, effectScaling, "scaling: %+v, was %+v", valueOf(updated.Scaling), valueOf(old.Scaling))
	}
}

// valueOf returns what p points to, for messages.
func valueOf[T any](p *T) any {
	if p == nil {
		return "none"
	}
	return *p
}

func workspacesByName(doc *deployment.Document) map[string]*deployment.Workspace {
	m := map[string]*deployment.Workspace{}
	for i := range doc.Workspaces {
		m[doc.Workspaces[i].Name] = &doc.Workspaces[i]
	}
	return m
}

func (c *comparison) compareWorkspaces() {
	old, updated := workspacesByName(c.old), workspacesByName(c.new)
	for _, name := range sortedKeys(old) {
		if updated[name] == nil {
			c.add("workspace "+name, "new requests with its keys get 401; admitted ones are finished", "removed")
		}
	}
	for _, name := range sortedKeys(updated) {
		before, after := old[name], updated[name]
		if before == nil {
			c.add("workspace "+name, "", "added")
			continue
		}
		c.compareQuota(before, after)
		if before.HasPriority != after.HasPriority || before.Priority != after.Priority {
			c.add("workspace "+name, effectNewRequests, "priority: %s, was %s", priorityText(after), priorityText(before))
		}
	}
}

func priorityText(w *deployment.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(w.Priority)
}

func quotaText(w *deployment.Workspace) string {
	unit := "requests"
	if w.QuotaInTokens {
		unit = "tokens"
	}
	if w.QuotaPerSecond <= 0 {
		return "none"
	}
	return fmt.Sprintf("%v %s a second and a burst of %v", w.QuotaPerSecond, unit, w.QuotaBurst)
}

func (c *comparison) compareQuota(old, updated *deployment.Workspace) {
	before, after := quotaText(old), quotaText(updated)
	if before == after {
		return
	}
	what, effect := "quota changed", effectNewRequests
	switch {
	case isQuotaLowered(old, updated):
		what, effect = "quota lowered", effectQuotaLowered
	case old.QuotaInTokens == updated.QuotaInTokens:
		what, effect = "quota raised", ""
	}
	c.add("workspace "+updated.Name, effect, "%s: %s, was %s", what, after, before)
}

// isQuotaLowered reports whether some requests that fitted into the old quota don't fit into
// the updated one. Quotas in different units can't be compared.
func isQuotaLowered(old, updated *deployment.Workspace) bool {
	switch {
	case updated.QuotaPerSecond <= 0:
		return false
	case old.QuotaPerSecond <= 0:
		return true
	}
	return old.QuotaInTokens == updated.QuotaInTokens && (updated.QuotaPerSecond < old.QuotaPerSecond || updated.QuotaBurst < old.QuotaBurst)
}

// compareKeys counts the changed keys by workspace. Keys themselves are secret.
func (c *comparison) compareKeys() {
	if c.old.Keys == nil && c.new.Keys != nil {
		c.add("keys", "new requests on routes that are not public need a known key", "first workspaces")
		return
	}
	if c.new.Keys == nil && c.old.Keys != nil {
		c.add("keys", "no request needs a key any more, and no quota holds", "last workspace removed")
		return
	}
	removed, moved, added := map[string]int{}, map[string]int{}, map[string]int{}
	for key, i := range c.old.Keys {
		name := c.old.Workspaces[i].Name
		if j, ok := c.new.Keys[key]; !ok {
			removed[name]++
		} else if c.new.Workspaces[j].Name != name {
			moved[name+" to workspace "+c.new.Workspaces[j].Name]++
		}
	}
	for key, i := range c.new.Keys {
		if _, ok := c.old.Keys[key]; !ok {
			added[c.new.Workspaces[i].Name]++
		}
	}
	c.addCounts(removed, effectUnauthorized, "%d keys taken away")
	c.addCounts(moved, effectNewRequests, "%d keys moved")
	c.addCounts(added, "", "%d keys added")
}

func (c *comparison) addCounts(counts map[string]int, effect, format string) {
	for _, name := range sortedKeys(counts) {
		c.add("workspace "+name, effect, format, counts[name])
	}
}

func (c *comparison) compareLimits() {
	old, updated := c.old.Limits, c.new.Limits
	for _, l := range []struct {
		name         string
		old, updated int
	}{{"bytes of headers", old.HeaderBytes, updated.HeaderBytes}, {"bytes of a body", old.BodyBytes, updated.BodyBytes}} {
		effect := ""
		if l.updated > 0 && (l.updated < l.old || l.old == 0) {
			effect = effectLimitLowered
		}
		c.compareValue("limits", l.name, l.old, l.updated, effect)
	}
	c.compareValue("limits", "header timeout", old.HeaderTimeout, updated.HeaderTimeout, "connections from now on")
	c.compareValue("limits", "idle timeout", old.IdleTimeout, updated.IdleTimeout, "connections from now on")
}
