package entry

import (
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
)

// Command returns the command that runs an entry node.
func Command() *cobra.Command {
	var set Settings
	return app.ServerCommand("coltsfoot-entry", "Serves callers and routes their requests to backend servers",
		set.Schema(), func() (app.Server, error) { return Start(set, NewHTTPDependencies(set)) })
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
