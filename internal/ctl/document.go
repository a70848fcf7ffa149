package ctl

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

func documentCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "document", Short: "Checks, submits and shows the operators' document"}
	cmd.AddCommand(documentCheckCommand(o), documentSubmitCommand(o), documentShowCommand(o), documentHistoryCommand(o))
	return cmd
}

func documentCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Checks a document offline, with the same code as coordinators", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return &app.ExitError{Code: app.ExitUsage, Err: err}
			}
			if _, err := document.Decode(data); err != nil {
				return o.printFindings(err)
			}
			return o.print(adminapi.SubmitAnswer{Result: "valid"}, []string{"RESULT"}, [][]string{{"valid"}})
		},
	}
}

// printFindings prints the findings that err holds and returns an error with the
// exit code for invalid input. Any other error is returned unchanged.
func (o *options) printFindings(err error) error {
	var found *findings.Error
	if !errors.As(err, &found) {
		return err
	}
	answer := adminapi.SubmitAnswer{Result: adminapi.Invalid, Findings: found.Findings}
	if err := o.print(answer, []string{"PLACE", "PROBLEM"}, findingRows(found.Findings)); err != nil {
		return err
	}
	return &app.ExitError{Code: app.ExitInvalid, Err: errors.Newf("%d findings", len(found.Findings))}
}

func documentSubmitCommand(o *options) *cobra.Command {
	var base uint64
	var operator string
	cmd := &cobra.Command{
		Use: "submit FILE", Short: "Submits a document made from a revision", Args: cobra.ExactArgs(1),
		Long: "Submits a document made from a revision. It is accepted only while that revision\n" +
			"is active, and reported as accepted once it has been read back from the log.\n" +
			"--base may be left out for the very first document.",
		Example: "  coltsfootctl document show --only-document > new.json\n" +
			"  coltsfootctl document history\n" +
			"  coltsfootctl document submit new.json --base 17",
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return &app.ExitError{Code: app.ExitUsage, Err: err}
			}
			if _, err := document.Decode(data); err != nil {
				return o.printFindings(err)
			}
			return o.submit(base, cmd.Flags().Changed("base"), operator, data)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "revision the document was made from")
	cmd.Flags().StringVar(&operator, "operator", os.Getenv("USER"), "name of the submitting operator")
	return cmd
}

func (o *options) submit(base uint64, baseGiven bool, operator string, data []byte) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := o.context()
	defer cancel()
	if !baseGiven {
		if err := requireNoDocument(ctx, client); err != nil {
			return err
		}
	}
	answer, err := client.Submit(ctx, adminapi.SubmitRequest{Base: base, Operator: operator, Document: json.RawMessage(data)})
	if err != nil {
		return err
	}
	return o.printSubmitted(answer)
}

// requireNoDocument returns an error if a document is already active, so that a
// submission without a base replaces nothing.
func requireNoDocument(ctx context.Context, client *AdminClient) error {
	current, err := client.Document(ctx)
	if err != nil || current.Revision == 0 {
		return err
	}
	return &app.ExitError{Code: app.ExitUsage, Err: errors.Newf(
		"--base is needed: revision %d of %s is active; name the revision that the file was made from", current.Revision, current.Operator)}
}

var resultExitCodes = map[adminapi.SubmitResult]int{
	adminapi.Conflict:     app.ExitConflict,
	adminapi.Invalid:      app.ExitInvalid,
	adminapi.Unknown:      app.ExitUnavailable,
	adminapi.NotSubmitted: app.ExitUnavailable,
}

func (o *options) printSubmitted(answer adminapi.SubmitAnswer) error {
	if answer.Result == adminapi.Invalid {
		return o.printFindings(&findings.Error{Findings: answer.Findings})
	}
	row := []string{string(answer.Result), strconv.FormatUint(answer.Revision, 10), answer.Operator, answer.Message}
	if err := o.print(answer, []string{"RESULT", "REVISION", "OPERATOR", "MESSAGE"}, [][]string{row}); err != nil {
		return err
	}
	if o.output == outputTable && len(answer.Warnings) > 0 {
		if err := o.print(answer, []string{"PLACE", "WARNING"}, findingRows(answer.Warnings)); err != nil {
			return err
		}
	}
	if code, failed := resultExitCodes[answer.Result]; failed {
		return &app.ExitError{Code: code, Err: errors.Newf("the result of the submission is %s", answer.Result)}
	}
	return nil
}

func documentShowCommand(o *options) *cobra.Command {
	var revision uint64
	var onlyDocument bool
	cmd := &cobra.Command{
		Use: "show", Short: "Shows the active document or an earlier one, as JSON", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			answer, err := callCoordinator(o, func(client *AdminClient, ctx context.Context) (adminapi.DocumentAnswer, error) {
				return showRevision(ctx, client, revision)
			})
			if err != nil {
				return err
			}
			o.output = outputJSON
			if onlyDocument {
				return o.print(answer.Document, nil, nil)
			}
			return o.print(answer, nil, nil)
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "an earlier revision; 0 for the active one")
	cmd.Flags().BoolVar(&onlyDocument, "only-document", false, "print the document without revision and operator, as check and submit expect it")
	return cmd
}

func showRevision(ctx context.Context, client *AdminClient, revision uint64) (adminapi.DocumentAnswer, error) {
	if revision == 0 {
		return client.Document(ctx)
	}
	return client.DocumentAt(ctx, revision)
}

func documentHistoryCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "Lists the newest accepted revisions, newest first", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			answer, err := callCoordinator(o, (*AdminClient).History)
			if err != nil {
				return err
			}
			return o.print(answer, []string{"REVISION", "BASE", "OPERATOR", "AT"}, historyRows(answer))
		},
	}
}

func historyRows(answer adminapi.HistoryAnswer) [][]string {
	var rows [][]string
	for _, r := range answer.Revisions {
		rows = append(rows, []string{strconv.FormatUint(r.Revision, 10), strconv.FormatUint(r.Base, 10), r.Operator, r.At.Format(time.RFC3339)})
	}
	return rows
}
