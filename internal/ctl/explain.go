package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
)

// explainCommand returns the command that gathers the gateways' log lines about
// a request.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Collects log lines about a request and about the state of its servers",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []string
			for _, path := range args[1:] {
				fileLines, err := readLines(path)
				if err != nil {
					return &app.ExitError{Code: app.ExitUsage, Err: err}
				}
				lines = append(lines, fileLines...)
			}
			if !explain(args[0], lines, cmd.OutOrStdout()) {
				return &app.ExitError{Code: app.ExitFailed, Err: errors.Newf("no line mentions request %s", args[0])}
			}
			return nil
		},
	}
}

const maxLogLineBytes = 1 << 20

func readLines(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	defer f.Close()
	var lines []string
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, errors.Wrapf(scanner.Err(), "read %s", path)
}

var (
	serverPattern = regexp.MustCompile(`\bserver=(\S+)`)
	trailPattern  = regexp.MustCompile(`\btrail=(\S+)`)
	// limitsPattern matches the limited servers that had no room for a request.
	limitsPattern = regexp.MustCompile(`\blimits=(\S+)`)
	// contentPattern matches the request content in a line of the content part.
	contentPattern = regexp.MustCompile(`^\S+ content .*\bcontent=(\w+)`)
	// partPattern matches a quarantined part of prompts and its key.
	partPattern  = regexp.MustCompile(`^\S+ content .*\bpart=(\S+) unit=(\S+)`)
	fieldPattern = regexp.MustCompile(`\b([a-z-]+)=(\S+)`)
	// suspectsPattern matches the parts with losses of a lost attempt.
	suspectsPattern = regexp.MustCompile(`^\S+ content lost .*\bsuspects=(\S+)`)
)

// explain writes the lines about a request together with those about its content, and
// about the parts of its prompt because of which it was refused, under any id, and about
// the state of its servers and of the store, sorted by time. It returns false if no line
// mentions the request.
func explain(id string, lines []string, out io.Writer) bool {
	var requestLines []string
	servers, contents, parts := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if !strings.Contains(l, " id="+id+" ") && !strings.HasSuffix(l, " id="+id) {
			continue
		}
		requestLines = append(requestLines, l)
		if m := contentPattern.FindStringSubmatch(l); m != nil {
			contents[m[1]] = true
		}
		if m := partPattern.FindStringSubmatch(l); m != nil {
			parts[m[1]], parts[m[2]] = true, true
		}
		for _, m := range serverPattern.FindAllStringSubmatch(l, -1) {
			servers[m[1]] = true
		}
		lists := append(trailPattern.FindAllStringSubmatch(l, -1), limitsPattern.FindAllStringSubmatch(l, -1)...)
		for _, m := range lists {
			for step := range strings.SplitSeq(m[1], ",") {
				name, _, _ := strings.Cut(step, ":")
				servers[name] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return false
	}
	slices.Sort(requestLines)
	first, last := requestLines[0], requestLines[len(requestLines)-1]
	for _, l := range lines {
		if m := contentPattern.FindStringSubmatch(l); m != nil && contents[m[1]] || isAboutPart(l, parts) {
			requestLines = append(requestLines, l)
		}
	}
	all := append(requestLines, contextLines(lines, servers, first, last)...)
	slices.Sort(all)
	for _, l := range slices.Compact(all) {
		fmt.Fprintln(out, l)
	}
	for _, l := range requestLines {
		explainPrediction(l, out)
	}
	return true
}

// explainPrediction writes what was predicted for a request beside what it took, if the line is
// its final one and something was predicted.
func explainPrediction(line string, out io.Writer) {
	f := map[string]string{}
	for _, m := range fieldPattern.FindAllStringSubmatch(line, -1) {
		f[m[1]] = m[2]
	}
	if f["predicted"] == "" || f["predicted"] == "0ms" || f["first"] == "" {
		return
	}
	fmt.Fprintf(out, "prediction: first token or answer after %s, was %s", f["predicted"], f["first"])
	if f["predicted-tokens"] != "" && f["predicted-tokens"] != "0" {
		fmt.Fprintf(out, "; %s answer tokens, were %s", f["predicted-tokens"], f["tokens"])
	}
	fmt.Fprintln(out)
}

// isAboutPart reports whether a line is about the quarantine of one of the parts, or about
// an attempt that was lost with one of them.
func isAboutPart(line string, parts map[string]bool) bool {
	if m := partPattern.FindStringSubmatch(line); m != nil {
		return parts[m[2]]
	}
	m := suspectsPattern.FindStringSubmatch(line)
	if m == nil {
		return false
	}
	return slices.ContainsFunc(strings.Split(m[1], ","), func(suspect string) bool {
		name, _, _ := strings.Cut(suspect, ":")
		return parts[name]
	})
}

// contextLines returns the lines about the state of the servers and of the store
// during a request, whose first and last lines are given: all lines between these
// two, and the newest line of each kind before the first.
func contextLines(lines []string, servers map[string]bool, first, last string) []string {
	newest := map[string]string{}
	var out []string
	for _, l := range lines {
		if l > last || !isContextLine(l, servers) {
			continue
		}
		if l >= first {
			out = append(out, l)
			continue
		}
		if kind := lineKind(l); l > newest[kind] {
			newest[kind] = l
		}
	}
	for _, l := range newest {
		out = append(out, l)
	}
	return out
}

// lineKind returns a line's part, event and server, without its time.
func lineKind(line string) string {
	words := strings.Fields(line)
	kind := strings.Join(words[1:min(len(words), 3)], " ")
	return kind + " " + serverPattern.FindString(line)
}

// isContextLine reports whether a line is about the state of one of the servers
// or of the store, the document, the gateway or the moves.
func isContextLine(line string, servers map[string]bool) bool {
	_, rest, _ := strings.Cut(line, " ")
	part, _, _ := strings.Cut(rest, " ")
	switch part {
	case "store", "document", "gateway", "moves":
		return true
	case "servers", "health":
		m := serverPattern.FindStringSubmatch(line)
		return m != nil && servers[m[1]]
	}
	return false
}
