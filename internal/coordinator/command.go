package coordinator

import (
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
)

// Command returns the command that runs a coordinator.
func Command() *cobra.Command {
	var set Settings
	return app.ServerCommand("coltsfoot-coordinator", "Accepts operators' documents and drives version moves and the fleet",
		set.Schema(), func() (app.Server, error) { return Start(set, NewHTTPDependencies(set)) })
}

// NewHTTPDependencies returns dependencies that are called over HTTP.
func NewHTTPDependencies(set Settings) Dependencies {
	client := httpclient.New()
	return Dependencies{
		Log:    httpclient.NewLog(client, set.LogAddress),
		Cloud:  httpclient.NewCloud(client, set.CloudAddress),
		Engine: httpclient.NewEngine(client),
		Clock:  ports.SystemClock{},
	}
}
