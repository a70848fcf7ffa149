package gateway

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "COLTSFOOTPATH_SETTINGS"

const (
	// memoryShare of the VM's memory is where the collector begins to work
	// harder; the rest is for bytes that the kernel holds for the process.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

// Command returns the command of the process.
func Command() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "coltsfoot-gateway [--settings FILE]",
		Short: "Run the entry VM of an operator's platform",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runCommand(path) },
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(settingsVariable), "INI file with the settings; the default is the value of "+settingsVariable)
	return cmd
}

func runCommand(path string) error {
	var set Settings
	if err := set.Schema().Load(path); err != nil {
		return &app.CodeError{Code: app.ExitUsage, Err: err}
	}
	debug.SetMemoryLimit(int64(memoryShare * set.MemoryMB * megabyte))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := Start(set, os.Stdout)
	if err != nil {
		return &app.CodeError{Code: app.ExitFailed, Err: err}
	}
	for s := range signals {
		if s == syscall.SIGHUP {
			reload(n, path)
			continue
		}
		break
	}
	if err := n.Drain(context.Background()); err != nil {
		return &app.CodeError{Code: app.ExitFailed, Err: err}
	}
	return nil
}

func reload(n *Node, path string) {
	var set Settings
	if err := set.Schema().Load(path); err != nil {
		n.log.Failure("gateway", "settings-unreadable", "error", err)
		return
	}
	n.Reload(set)
}
