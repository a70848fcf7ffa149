// Package app provides the parts that all commands share: flags, logging,
// settings, signals and exit codes.
package app

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/settings"
)

// Exit codes of all commands.
const (
	ExitOK = 0
	// ExitFailed means that the command ran, but the requested operation failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are wrong.
	ExitUsage = 2
	// ExitConflict means that another operator's document was accepted first.
	ExitConflict = 3
	// ExitInvalid means that the input is invalid; the findings were printed.
	ExitInvalid = 4
	// ExitUnavailable means that the coordinator or the log could not be reached.
	ExitUnavailable = 5
)

// ExitError is an error with the exit code to return for it.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the wrapped error's text.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs a command. If it fails, Main prints the error and exits the process
// with the code of an *ExitError, or with ExitUsage for any other error.
func Main(cmd *cobra.Command) {
	cmd.Version = Version()
	cmd.SilenceUsage = true
	cmd.SilenceErrors = true
	addLogFlags(cmd)
	err := cmd.Execute()
	klog.Flush()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if codeErr, ok := err.(*ExitError); ok {
		os.Exit(codeErr.Code)
	}
	os.Exit(ExitUsage)
}

// addLogFlags adds the klog flags v and vmodule.
func addLogFlags(cmd *cobra.Command) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	cmd.PersistentFlags().AddGoFlag(flags.Lookup("v"))
	cmd.PersistentFlags().AddGoFlag(flags.Lookup("vmodule"))
}

// Version returns the module version and, if recorded, the revision from the
// build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}

// SignalContext returns a context that is cancelled by SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Server is a running server that can be drained. Drain returns once it has
// stopped.
type Server interface {
	Drain(ctx context.Context) error
}

// ServerCommand returns a command that loads the settings file, starts a server,
// and drains it on SIGTERM or SIGINT.
func ServerCommand(name, short string, schema *settings.Schema, start func() (Server, error)) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   name + " --settings FILE",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := schema.Load(path); err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return runUntilSignal(start)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "INI file with the settings")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runUntilSignal(start func() (Server, error)) error {
	ctx, stop := SignalContext()
	defer stop()
	server, err := start()
	if err != nil {
		return &ExitError{Code: ExitFailed, Err: err}
	}
	<-ctx.Done()
	stop()
	if err := server.Drain(context.Background()); err != nil {
		return &ExitError{Code: ExitFailed, Err: err}
	}
	return nil
}
