package policybench

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Command returns the command that compares the routing policies.
func Command() *cobra.Command {
	var seed uint64
	var scenarioName string
	cmd := &cobra.Command{
		Use:   "policies",
		Short: "Compares routing policies in virtual time and prints a table",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			writeTable(os.Stdout, compare(seed, scenarioName))
			if scenarioName == "" {
				fmt.Fprintln(os.Stdout)
				writeCapacities(os.Stdout, measureCapacities(seed))
			}
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load and of all random decisions")
	cmd.Flags().StringVar(&scenarioName, "scenario", "", "scenario to run; empty for all")
	return cmd
}

func compare(seed uint64, scenarioName string) []row {
	var rows []row
	for _, s := range scenarios {
		if scenarioName != "" && s.name != scenarioName {
			continue
		}
		for _, p := range policies {
			rows = append(rows, s.run(p, seed))
		}
	}
	return rows
}
