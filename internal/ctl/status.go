package ctl

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordinator"
	"coltsfootpath.example/coltsfootpath/internal/entry"
	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/gateway"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/settings"
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Shows a coordinator's status: log, revision, lease", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			answer, err := callCoordinator(o, (*AdminClient).Status)
			if err != nil {
				return err
			}
			return o.print(answer, []string{"FIELD", "VALUE"}, statusRows(answer))
		},
	}
}

func statusRows(a adminapi.StatusAnswer) [][]string {
	holder := a.Lease.Holder.VM
	if a.Lease.FencingToken == 0 || a.Lease.Released {
		holder = "nobody"
	}
	return [][]string{
		{"coordinator", a.VM},
		{"revision", strconv.FormatUint(a.Revision, 10)},
		{"caught up", strconv.FormatBool(a.CaughtUp)},
		{"complete", strconv.FormatBool(a.Complete)},
		{"log read at", a.LogReadAt.Format(time.RFC3339)},
		{"last checkpoint", strconv.FormatUint(a.Checkpoint, 10)},
		{"lease holder", holder},
		{"fencing number", strconv.FormatUint(a.Lease.FencingToken, 10)},
	}
}

func nodeCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "node", Short: "Shows VMs"}
	cmd.AddCommand(&cobra.Command{
		Use: "list", Short: "Lists entry VMs and backend servers as a coordinator sees them", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			answer, err := callCoordinator(o, (*AdminClient).Status)
			if err != nil {
				return err
			}
			return o.print(answer, []string{"VM", "ROLE", "ZONE", "LEAVING"}, nodeRows(answer))
		},
	})
	return cmd
}

func nodeRows(answer adminapi.StatusAnswer) [][]string {
	var rows [][]string
	for _, e := range answer.Entries {
		rows = append(rows, []string{e.VM, "entry", e.AvailabilityZone, strconv.FormatBool(e.Leaving)})
	}
	for _, b := range answer.Backends {
		rows = append(rows, []string{b.VM, b.Role, b.AvailabilityZone, strconv.FormatBool(b.Leaving)})
	}
	return rows
}

// settingsSchemas returns the settings schema of each server binary by name.
func settingsSchemas() map[string]*settings.Schema {
	var e entry.Settings
	var c coordinator.Settings
	var g gateway.Settings
	return map[string]*settings.Schema{"entry": e.Schema(), "coordinator": c.Schema(), "gateway": g.Schema()}
}

func settingsCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Checks settings files"}
	cmd.AddCommand(&cobra.Command{
		Use: "check {entry|coordinator|gateway} FILE", Short: "Checks a settings file with the same code as the binary", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			schema, ok := settingsSchemas()[args[0]]
			if !ok {
				return &app.ExitError{Code: app.ExitUsage, Err: errors.Newf("%q is not one of entry, coordinator and gateway", args[0])}
			}
			err := schema.Load(args[1])
			var found *findings.Error
			if errors.As(err, &found) {
				return o.printFindings(found)
			}
			return o.print(adminapi.SubmitAnswer{Result: "valid"}, []string{"RESULT"}, [][]string{{"valid"}})
		},
	})
	return cmd
}
