package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/configcheck"
	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/platform"
)

// Exit codes of the check command, which has no others.
const (
	exitWarnings = 1
	exitErrors   = 2
)

// Formats of configurations.
const (
	formatAuto     = "auto"
	formatDocument = "document"
	formatPlatform = "platform"
)

func checkCommand(o *options) *cobra.Command {
	var active, format string
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Checks a configuration before it is sent, and shows what it changes", Args: cobra.ExactArgs(1),
		Long: "Checks a configuration before it is sent, with the code that reads it: errors, entries\n" +
			"that can never match and limits that contradict each other. With --active it also\n" +
			"shows what differs from the configuration in force and what that does to requests.\n\n" +
			"Both the operators' document and the configuration of an operator's platform are\n" +
			"read. Exit codes: 0 no findings, 1 warnings alone, 2 errors.",
		Example: "  coltsfootctl check new.json\n" +
			"  coltsfootctl check new.json --active active.json -o json",
		RunE: func(_ *cobra.Command, args []string) error {
			report, err := checkFiles(args[0], active, format)
			if err != nil {
				return &app.ExitError{Code: exitErrors, Err: err}
			}
			return o.printReport(report)
		},
	}
	cmd.Flags().StringVar(&active, "active", "", "file with the configuration in force")
	cmd.Flags().StringVar(&format, "format", formatAuto, "document, platform, or auto: by the content")
	return cmd
}

// checkFiles checks a file, and compares it with the active one unless that is empty.
func checkFiles(file, active, format string) (configcheck.Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return configcheck.Report{}, errors.Wrapf(err, "read %s", file)
	}
	var activeData []byte
	if active != "" {
		if activeData, err = os.ReadFile(active); err != nil {
			return configcheck.Report{}, errors.Wrapf(err, "read %s", active)
		}
	}
	switch format {
	case formatAuto:
		if isPlatformConfiguration(data) {
			return checkPlatform(data, activeData), nil
		}
		return checkDocument(data, activeData), nil
	case formatPlatform:
		return checkPlatform(data, activeData), nil
	case formatDocument:
		return checkDocument(data, activeData), nil
	}
	return configcheck.Report{}, errors.Newf("--format must be %s, %s or %s, not %q", formatDocument, formatPlatform, formatAuto, format)
}

// isPlatformConfiguration reports whether data looks like the configuration of an operator's
// platform, also if it ends too early: it has a version and routes, which the operators'
// document has not.
func isPlatformConfiguration(data []byte) bool {
	dec := json.NewDecoder(bytes.NewReader(data))
	if opening, err := dec.Token(); err != nil || opening != json.Delim('{') {
		return false
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return false
		}
		if key == "version" || key == "routes" {
			return true
		}
		var value json.RawMessage
		if dec.Decode(&value) != nil {
			return false
		}
	}
	return false
}

func checkPlatform(data, activeData []byte) configcheck.Report {
	doc, invalid := platform.CheckDocument(data)
	if doc == nil {
		return configcheck.Report{Errors: invalid}
	}
	report := configcheck.Check(doc)
	var found findings.List
	found.AddNotCovered(invalid)
	found.AddNotCovered(platformPaths(report.Errors))
	report.Errors, report.Warnings = found.Items(), platformPaths(report.Warnings)
	if activeData == nil {
		return report
	}
	old, err := platform.DecodeDocument(activeData)
	if err != nil {
		report.Warnings = append(report.Warnings, activeUnreadable(err))
		return report
	}
	report.Changes = configcheck.Compare(old, doc)
	return report
}

// platformPaths returns findings with the platform's names of fields.
func platformPaths(list []findings.Finding) []findings.Finding {
	for i := range list {
		list[i].Path = platform.DocumentPath(list[i].Path)
	}
	return list
}

func activeUnreadable(err error) findings.Finding {
	return findings.Finding{Path: "--active", Problem: fmt.Sprintf("can't be read, so nothing is compared: %v", err)}
}

func checkDocument(data, activeData []byte) configcheck.Report {
	doc, report := configcheck.CheckOperatorsDocument(data, time.Now())
	if doc == nil || activeData == nil {
		return report
	}
	old, activeReport := configcheck.CheckOperatorsDocument(activeData, time.Now())
	if old == nil {
		report.Warnings = append(report.Warnings, activeUnreadable(&findings.Error{Findings: activeReport.Errors}))
		return report
	}
	report.Changes = configcheck.CompareOperatorsDocuments(old, doc)
	return report
}

// printReport prints a report and returns an error with the exit code for its findings.
func (o *options) printReport(r configcheck.Report) error {
	var rows [][]string
	for _, f := range r.Errors {
		rows = append(rows, []string{"error", f.Path, f.Problem})
	}
	for _, f := range r.Warnings {
		rows = append(rows, []string{"warning", f.Path, f.Problem})
	}
	for _, c := range r.Changes {
		what := c.What
		if c.Effect != "" {
			what += "; " + c.Effect
		}
		rows = append(rows, []string{"change", c.Subject, what})
	}
	if len(rows) == 0 {
		rows = append(rows, []string{"ok", "-", "no findings"})
	}
	if err := o.print(r, []string{"KIND", "PLACE", "WHAT"}, rows); err != nil {
		return err
	}
	switch {
	case len(r.Errors) > 0:
		return &app.ExitError{Code: exitErrors, Err: errors.Newf("%d errors and %d warnings", len(r.Errors), len(r.Warnings))}
	case len(r.Warnings) > 0:
		return &app.ExitError{Code: exitWarnings, Err: errors.Newf("%d warnings", len(r.Warnings))}
	}
	return nil
}
