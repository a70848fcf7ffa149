// Package findings collects all problems found in one input, each with its field
// path, so that they can be fixed together.
package findings

import (
	"fmt"
	"strings"
)

// Finding is one problem and where it is: a field path such as `moves[1].deadline`,
// or the file, line and key of a setting such as `entry.ini:4: [log] address`.
type Finding struct {
	Path    string `json:"place"`
	Problem string `json:"problem"`
}

// String returns "path: problem".
func (f Finding) String() string {
	return f.Path + ": " + f.Problem
}

// List collects findings in the order in which they are added.
type List struct {
	items []Finding
}

// Addf adds a finding at the field path.
func (l *List) Addf(path, format string, args ...any) {
	l.items = append(l.items, Finding{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// AddNotCovered adds the candidates whose field paths no earlier finding covers, so that a
// value of the wrong type is not also reported as missing.
func (l *List) AddNotCovered(candidates []Finding) {
	earlier := l.items
	for _, f := range candidates {
		if !isCovered(f.Path, earlier) {
			l.items = append(l.items, f)
		}
	}
}

// isCovered reports whether path is the field path of one of the findings, or lies
// within it.
func isCovered(path string, earlier []Finding) bool {
	for _, f := range earlier {
		rest, ok := strings.CutPrefix(path, f.Path)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Items returns the findings collected so far.
func (l *List) Items() []Finding {
	return l.items
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error is an error that holds all findings of one input.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
