package entry

import (
	"runtime/debug"

	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
)

const (
	megabyte = 1 << 20
	// heapShare of the process's memory is the garbage collector's soft limit. The rest is for
	// memory that the kernel holds for the process.
	heapShare = 0.6
	// requestMemoryShare of the process's memory may hold the prompts and answers of open and
	// finished requests.
	requestMemoryShare = 0.2
)

// Command returns the command that runs an entry node.
func Command() *cobra.Command {
	var set Settings
	return app.ServerCommand("coltsfoot-entry", "Serves callers and routes their requests to backend servers",
		set.Schema(), func() (app.Server, error) {
			debug.SetMemoryLimit(int64(heapShare * set.MemoryMB * megabyte))
			return Start(set, NewHTTPDependencies(set))
		})
}

// NewHTTPDependencies returns HTTP clients for the services named in the settings.
func NewHTTPDependencies(set Settings) Dependencies {
	client := httpclient.New()
	return Dependencies{
		Log:     httpclient.NewLog(client, set.LogAddress),
		Cloud:   httpclient.NewCloud(client, set.CloudAddress),
		Engine:  httpclient.NewEngine(client),
		Service: httpclient.NewPlainService(client),
		Clock:   ports.SystemClock{},
	}
}
