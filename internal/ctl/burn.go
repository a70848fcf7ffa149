package ctl

import (
	"context"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/burn"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/report"
)

// Burn returns the service-level burn report.
func (c *AdminClient) Burn(ctx context.Context) (burn.Report, error) {
	var rep burn.Report
	err := c.do(ctx, http.MethodGet, adminapi.BurnPath, nil, &rep)
	return rep, err
}

func reportCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Shows service-level reports"}
	var htmlPath string
	burnCmd := &cobra.Command{
		Use: "burn", Short: "Shows how fast the error budgets burn, by service, version, route and workspace", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rep, err := callCoordinator(o, (*AdminClient).Burn)
			if err != nil {
				return err
			}
			if htmlPath != "" {
				return writePage(htmlPath, rep)
			}
			if o.output == outputJSON {
				return o.print(rep, nil, nil)
			}
			return report.WriteTable(o.out, rep)
		},
	}
	burnCmd.Flags().StringVar(&htmlPath, "html", "", "write a self-contained page with plots to this file instead")
	cmd.AddCommand(burnCmd)
	return cmd
}

func writePage(path string, rep burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return &app.ExitError{Code: app.ExitUsage, Err: err}
	}
	if err := report.WriteHTML(file, rep); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
