package metrics

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// namePrefix is the prefix of this project's metric names.
const namePrefix = "coltsfoot_"

var descPattern = regexp.MustCompile(`^Desc\{fqName: "([^"]*)", help: "([^"]*)", unit: "[^"]*", constLabels: \{[^}]*\}, variableLabels: \{([^}]*)\}\}$`)

// MarkdownRows returns a Markdown table row for each of this project's metrics in
// a registry, sorted by name.
func MarkdownRows(registry *prometheus.Registry) []string {
	descs := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descs)
		close(descs)
	}()
	var rows []string
	for d := range descs {
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil || !strings.HasPrefix(m[1], namePrefix) {
			continue
		}
		labels := strings.Join(strings.Split(m[3], ","), ", ")
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", m[1], labels, m[2]))
	}
	slices.Sort(rows)
	return slices.Compact(rows)
}
