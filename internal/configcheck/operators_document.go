package configcheck

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// CheckOperatorsDocument returns the findings on a document of the product's own interface,
// and the document, nil if it can't be read.
func CheckOperatorsDocument(data []byte, now time.Time) (*document.Document, Report) {
	doc, err := document.Decode(data)
	var invalid *findings.Error
	switch {
	case errors.As(err, &invalid):
		return nil, Report{Errors: invalid.Findings}
	case err != nil:
		return nil, Report{Errors: []findings.Finding{{Path: "document", Problem: err.Error()}}}
	}
	var warnings findings.List
	for i := range doc.Services {
		warnUncalledRoutes(doc, i, &warnings)
	}
	for i := range doc.Workspaces {
		if len(doc.Workspaces[i].Routes) == 0 {
			warnings.Addf(fmt.Sprintf("workspaces[%d].routes", i), "is empty: workspace %q may call nothing", doc.Workspaces[i].Name)
		}
	}
	for i := range doc.Moves {
		warnMove(doc, i, now, &warnings)
	}
	return doc, Report{Warnings: warnings.Items()}
}

func warnUncalledRoutes(doc *document.Document, i int, warnings *findings.List) {
	s := &doc.Services[i]
	for j, r := range s.Routes {
		isCalled := false
		for k := range doc.Workspaces {
			isCalled = isCalled || doc.Workspaces[k].Allows(s.Name, r.Name)
		}
		if !isCalled {
			warnings.Addf(fmt.Sprintf("services[%d].routes[%d]", i, j), "no workspace may call %s/%s", s.Name, r.Name)
		}
	}
	if s.Target.BetweenTokenMillis > s.Target.FirstTokenMillis {
		warnings.Addf(fmt.Sprintf("services[%d].target.between_token_ms", i), "%d is longer than the time to the first token, %d", s.Target.BetweenTokenMillis, s.Target.FirstTokenMillis)
	}
}

func warnMove(doc *document.Document, i int, now time.Time, warnings *findings.List) {
	m := &doc.Moves[i]
	path := fmt.Sprintf("moves[%d]", i)
	if m.Deadline.Before(now) {
		warnings.Addf(path+".deadline", "%s has passed", m.Deadline.Format(time.RFC3339))
	}
	if s, ok := doc.Service(m.Service); ok && s.Serving != m.From && s.Serving != m.To {
		warnings.Addf(path+".from", "%q is not the serving version, %q", m.From, s.Serving)
	}
}

// CompareOperatorsDocuments returns what changes from the document old, which is in force, to
// new.
func CompareOperatorsDocuments(old, new *document.Document) []Change {
	var c comparison
	compareNamed(&c, "service", "callers get 404", old.Services, new.Services, func(s document.Service) string { return s.Name })
	for i := range new.Services {
		s := &new.Services[i]
		if before, ok := old.Service(s.Name); ok {
			compareNamed(&c, "route "+s.Name, "callers get 404", before.Routes, s.Routes, func(r document.Route) string { return r.Name })
		}
	}
	compareNamed(&c, "workspace", "its callers get 401", old.Workspaces, new.Workspaces, func(w document.Workspace) string { return w.Name })
	compareNamed(&c, "move", "it is cancelled", old.Moves, new.Moves, func(m document.Move) string { return m.Name })
	c.compareFields("fleet", reflect.ValueOf(old.Fleet), reflect.ValueOf(new.Fleet))
	return c.changes
}

// compareNamed adds the entries that were removed, added and changed.
func compareNamed[T any](c *comparison, kind, removed string, old, updated []T, name func(T) string) {
	before, after := map[string]T{}, map[string]T{}
	for _, v := range old {
		before[name(v)] = v
	}
	for _, v := range updated {
		after[name(v)] = v
	}
	for _, n := range sortedKeys(before) {
		if _, ok := after[n]; !ok {
			c.add(kind+" "+n, "for new requests: "+removed, "removed")
		}
	}
	for _, n := range sortedKeys(after) {
		v, ok := before[n]
		if !ok {
			c.add(kind+" "+n, "", "added")
			continue
		}
		c.compareFields(kind+" "+n, reflect.ValueOf(v), reflect.ValueOf(after[n]))
	}
}

// secretFields are changed without their values being shown.
var secretFields = map[string]bool{"TokenSHA256": true}

// compareFields adds the fields of two structs that differ. Those with names of their own are
// compared by name elsewhere.
func (c *comparison) compareFields(subject string, old, updated reflect.Value) {
	for i := range old.NumField() {
		f := old.Type().Field(i)
		before, after := old.Field(i).Interface(), updated.Field(i).Interface()
		switch {
		case f.Type == reflect.TypeFor[[]document.Route]() || reflect.DeepEqual(before, after):
		case secretFields[f.Name]:
			c.add(subject, "new requests with the earlier token get 401", "%s changed", f.Name)
		default:
			c.add(subject, effectNewRequests, "%s: %v, was %v", f.Name, after, before)
		}
	}
}
