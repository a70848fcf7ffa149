package gateway

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
)

// settingsVariable is the environment variable with the path of the settings
// file, used if the --settings flag is absent.
const settingsVariable = "COLTSFOOTPATH_SETTINGS"

const (
	// memoryShare of the VM's memory is the garbage collector's soft limit. The rest
	// is for memory that the kernel holds for the process.
	memoryShare = 0.6
	// collectionPercent is the growth of the heap until the next garbage collection. Marking
	// takes longer than serving what was allocated meanwhile; the memory limit bounds the heap.
	collectionPercent = 200
	megabyte          = 1 << 20
)

// Command returns the command that runs the process.
func Command() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "coltsfoot-gateway [--settings FILE]",
		Short: "Runs the process of one entry VM on an operator's platform",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runCommand(path) },
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(settingsVariable), "INI file with the settings; the default is the value of "+settingsVariable)
	return cmd
}

func runCommand(path string) error {
	var settings Settings
	unknown, err := settings.Schema().LoadKnown(path)
	if err != nil {
		return &app.ExitError{Code: app.ExitUsage, Err: err}
	}
	setMemoryLimit(&settings)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := Start(settings, os.Stdout)
	if err != nil {
		return &app.ExitError{Code: app.ExitFailed, Err: err}
	}
	n.logUnknownSettings(unknown)
	file := newSettingsFile(path)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for stopping := false; !stopping; {
		select {
		case s := <-signals:
			stopping = s != syscall.SIGHUP
			if !stopping {
				file.hasChanged()
				reload(n, path)
			}
		case <-ticker.C:
			if file.hasChanged() {
				reload(n, path)
			}
		}
	}
	if err := n.Drain(context.Background()); err != nil {
		return &app.ExitError{Code: app.ExitFailed, Err: err}
	}
	return nil
}

// setMemoryLimit sets the garbage collector's memory limit from the settings.
func setMemoryLimit(settings *Settings) {
	debug.SetGCPercent(collectionPercent)
	debug.SetMemoryLimit(int64(memoryShare * settings.MemoryMB * megabyte))
}

// settingsCheckInterval is the interval at which the settings file is checked,
// because it may change without a signal.
const settingsCheckInterval = 2 * time.Second

// settingsFile detects changes of a file.
type settingsFile struct {
	path       string
	modifiedAt time.Time
	size       int64
}

func newSettingsFile(path string) *settingsFile {
	f := &settingsFile{path: path}
	f.hasChanged()
	return f
}

// hasChanged reports whether the file differs from its state at the last call. A
// missing file counts as unchanged.
func (f *settingsFile) hasChanged() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modifiedAt) && info.Size() == f.size {
		return false
	}
	f.modifiedAt, f.size = info.ModTime(), info.Size()
	return true
}

func reload(n *Node, path string) {
	var settings Settings
	unknown, err := settings.Schema().LoadKnown(path)
	if err != nil {
		n.log.Failure("gateway", "settings-unreadable", "error", err)
		return
	}
	n.logUnknownSettings(unknown)
	n.Reload(settings)
}

// logUnknownSettings logs the findings about settings of a later version, which this process
// ignores: settings are written for the newest version while VMs are upgraded one by one.
func (n *Node) logUnknownSettings(unknown error) {
	if unknown != nil {
		n.log.Failure("gateway", "settings-ignored", "findings", unknown)
	}
}
