package lab

import (
	"os"
	"strings"

	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/faultlab"
)

// faultsCommand returns the command that runs package faultlab.
func faultsCommand() *cobra.Command {
	var o faultlab.Options
	cmd := &cobra.Command{
		Use:   "faults",
		Short: "Injects faults into real gateway processes and checks guarantees by what callers and backend servers observe",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := faultlab.Run(cmd.Context(), o, os.Stdout); err != nil {
				return &app.ExitError{Code: app.ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first round, incremented for each later one")
	cmd.Flags().Float64Var(&o.Minutes, "minutes", 1, "time in minutes after which no round starts")
	cmd.Flags().IntVar(&o.Processes, "processes", 6, "number of gateway processes")
	cmd.Flags().StringVar(&o.Scenario, "scenario", faultlab.ScenarioMixed, "what the rounds inject: "+strings.Join(faultlab.Scenarios(), ", "))
	cmd.Flags().StringVar(&o.Binary, "gateway", "", "path of the gateway program; the default is coltsfoot-gateway in this program's directory")
	cmd.Flags().StringVar(&o.Dir, "dir", "", "parent directory for settings and logs; the default is the system's temporary directory")
	return cmd
}
