// Package ctl implements coltsfootctl, the operators' command-line tool. It calls
// the admin API of a coordinator; the content commands call the store of an
// operator's platform. Documents and settings files are checked locally,
// with the code that the servers use.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/findings"
)

// options holds the flags that all subcommands share, and the output writer.
type options struct {
	admin     string
	tokenFile string
	output    string
	timeout   time.Duration
	out       io.Writer
}

const (
	outputTable = "table"
	outputJSON  = "json"
	tokenEnv    = "COLTSFOOT_ADMIN_TOKEN"
)

// Command returns the root command of coltsfootctl.
func Command() *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{
		Use:   "coltsfootctl",
		Short: "Operates coltsfootpath: documents, version moves, reports",
		Long: "Operates coltsfootpath: documents, version moves, reports.\n\n" +
			"Operators describe the desired state in one JSON document. To change it, show the\n" +
			"active document, edit a copy, check it, and submit it with the revision that it\n" +
			"was made from.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong command line or settings, 3 conflict with\n" +
			"another operator, 4 invalid input, 5 coordinator or log unavailable.\n\n" +
			"The admin token is read from --token-file or from " + tokenEnv + ".",
		Example: "  coltsfootctl document show --only-document > new.json\n" +
			"  coltsfootctl document check new.json\n" +
			"  coltsfootctl document submit new.json --base 17 --operator anna\n" +
			"  coltsfootctl document history -o json",
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			o.out = cmd.OutOrStdout()
			return o.check()
		},
	}
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.admin, "admin", "127.0.0.1:7201", "admin address of any coordinator")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the admin token")
	flags.StringVarP(&o.output, "output", "o", outputTable, "table or json")
	flags.DurationVar(&o.timeout, "timeout", 15*time.Second, "timeout of calls to the coordinator")
	cmd.AddCommand(checkCommand(o), documentCommand(o), moveCommand(o), nodeCommand(o), reportCommand(o), settingsCommand(o), statusCommand(o), contentCommand(o), explainCommand())
	return cmd
}

func (o *options) check() error {
	if o.output != outputTable && o.output != outputJSON {
		return &app.ExitError{Code: app.ExitUsage, Err: errors.Newf("--output must be %s or %s, not %q", outputTable, outputJSON, o.output)}
	}
	return nil
}

func (o *options) token() (string, error) {
	if o.tokenFile == "" {
		return os.Getenv(tokenEnv), nil
	}
	data, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return "", &app.ExitError{Code: app.ExitUsage, Err: err}
	}
	return strings.TrimSpace(string(data)), nil
}

func (o *options) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.timeout)
}

// print writes value as JSON or, in table output, the header and rows.
func (o *options) print(value any, header []string, rows [][]string) error {
	if o.output == outputJSON {
		enc := json.NewEncoder(o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func findingRows(list []findings.Finding) [][]string {
	rows := make([][]string, len(list))
	for i, f := range list {
		rows[i] = []string{f.Path, f.Problem}
	}
	return rows
}
