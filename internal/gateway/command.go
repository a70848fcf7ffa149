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
	setMemoryLimit(&set)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := Start(set, os.Stdout)
	if err != nil {
		return &app.CodeError{Code: app.ExitFailed, Err: err}
	}
	file := newSettingsFile(path)
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	for ends := false; !ends; {
		select {
		case s := <-signals:
			ends = s != syscall.SIGHUP
			if !ends {
				file.hasChanged()
				reload(n, path)
			}
		case <-look.C:
			if file.hasChanged() {
				reload(n, path)
			}
		}
	}
	if err := n.Drain(context.Background()); err != nil {
		return &app.CodeError{Code: app.ExitFailed, Err: err}
	}
	return nil
}

// setMemoryLimit tells the collector how much memory the process may use.
func setMemoryLimit(set *Settings) {
	debug.SetMemoryLimit(int64(memoryShare * set.MemoryMB * megabyte))
}

// settingsLook is how often the settings file is looked at: it may change without
// a signal.
const settingsLook = 2 * time.Second

// settingsFile tells when a file has changed.
type settingsFile struct {
	path     string
	modified time.Time
	size     int64
}

func newSettingsFile(path string) *settingsFile {
	f := &settingsFile{path: path}
	f.hasChanged()
	return f
}

// hasChanged tells whether the file differs from what it was at the last call. One
// that is not there now has not changed.
func (f *settingsFile) hasChanged() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modified) && info.Size() == f.size {
		return false
	}
	f.modified, f.size = info.ModTime(), info.Size()
	return true
}

func reload(n *Node, path string) {
	var set Settings
	if err := set.Schema().Load(path); err != nil {
		n.log.Failure("gateway", "settings-unreadable", "error", err)
		return
	}
	n.Reload(set)
}
