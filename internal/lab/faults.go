package lab

import (
	"os"

	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/faultlab"
)

// faultsCommand returns the command that runs package faultlab.
func faultsCommand() *cobra.Command {
	var o faultlab.Options
	cmd := &cobra.Command{
		Use:   "faults",
		Short: "Harms real gateway processes from outside and judges by what callers and backend servers see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := faultlab.Run(cmd.Context(), o, os.Stdout); err != nil {
				return &app.ExitError{Code: app.ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first round; each later one takes the next number")
	cmd.Flags().Float64Var(&o.Minutes, "minutes", 1, "no round begins after this time")
	cmd.Flags().IntVar(&o.Processes, "processes", 6, "gateway processes")
	cmd.Flags().StringVar(&o.Binary, "gateway", "", "the gateway's program; the default is the one beside this program")
	cmd.Flags().StringVar(&o.Dir, "dir", "", "directory for settings and logs; the default is the system's")
	return cmd
}
