// Package standin runs the stand-ins for external systems as processes, for
// tests and demos.
package standin

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// Command returns the root command, which has one subcommand per stand-in.
func Command() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "coltsfoot-standin",
		Short: "Runs one stand-in for an external system",
	}
	cmd.AddCommand(logCommand(), cloudCommand(), engineCommand(), serviceCommand())
	return cmd
}

const maxBodyBytes = 16 << 20

// serve serves handler on listen until the process receives a termination
// signal. If onStarted is not nil, serve calls it with the bound address.
func serve(name, listen string, handler http.Handler, onStarted func(address string) error) error {
	ctx, stop := app.SignalContext()
	defer stop()
	server, err := httpserver.Start(httpserver.Config{Name: name, Address: listen, Handler: handler, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return &app.ExitError{Code: app.ExitFailed, Err: err}
	}
	defer server.Close()
	klog.Infof("standin: started kind=%s address=%s", name, server.Address())
	if onStarted != nil {
		if err := onStarted(server.Address()); err != nil {
			return &app.ExitError{Code: app.ExitFailed, Err: err}
		}
	}
	<-ctx.Done()
	return nil
}

func logCommand() *cobra.Command {
	var listen string
	var cfg logservice.Config
	cmd := &cobra.Command{Use: "log", Short: "Runs a stand-in for the platform's log service", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve("log", listen, logservice.New(cfg).Handler(), nil)
	}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7001", "address to listen on")
	cmd.Flags().IntVar(&cfg.RetainRecords, "retain", logservice.DefaultRetainRecords, "records retained per stream")
	cmd.Flags().Float64Var(&cfg.AppendsPerSecond, "appends-per-second", logservice.DefaultAppendsPerSecond, "maximum appends per second over all streams")
	return cmd
}

func cloudCommand() *cobra.Command {
	var listen string
	var cfg cloud.Config
	cmd := &cobra.Command{Use: "cloud", Short: "Runs a stand-in for the platform's cloud API", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return serve("cloud", listen, cloud.New(cfg).Handler(), nil)
	}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7002", "address to listen on")
	cmd.Flags().DurationVar(&cfg.ListLag, "list-lag", 2*time.Second, "delay before a change appears in the VM list")
	return cmd
}

// vmFlags holds the flags of a stand-in that the cloud lists as a VM.
type vmFlags struct {
	listen string
	cloud  string
	vm     ports.VM
}

func (f *vmFlags) addTo(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&f.cloud, "cloud", "127.0.0.1:7002", "cloud stand-in to register with; empty for none")
	cmd.Flags().StringVar(&f.vm.ID, "vm", "", "id of this VM")
	cmd.Flags().StringVar(&f.vm.AvailabilityZone, "availability-zone", "zone-a", "availability zone of this VM")
	cmd.Flags().StringVar(&f.vm.Class, "class", "small", "class of this VM")
	cmd.Flags().BoolVar(&f.vm.Reclaimable, "reclaimable", true, "whether this VM can be reclaimed")
	_ = cmd.MarkFlagRequired("vm")
}

// register adds this VM, reachable at address, to the cloud stand-in's list.
func (f *vmFlags) register(address string) error {
	if f.cloud == "" {
		return nil
	}
	f.vm.Address = address
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	return httpclient.New().CallJSON(ctx, http.MethodPost, "http://"+f.cloud+"/add", f.vm, nil)
}

const registerTimeout = 5 * time.Second

func engineCommand() *cobra.Command {
	var flags vmFlags
	var models string
	cost := engine.DefaultCost
	cmd := &cobra.Command{Use: "engine", Short: "Runs a stand-in for a model engine", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		flags.vm.Role = ports.EngineRole
		e := engine.New(engine.Config{Cost: cost, Models: strings.Split(models, ","), ChecksFencing: flags.vm.ChecksFencing, LoadLag: 200 * time.Millisecond})
		defer e.Stop()
		return serve("engine", flags.listen, engine.NewServer(e).Handler(), flags.register)
	}
	flags.addTo(cmd)
	cmd.Flags().StringVar(&models, "models", "savings-7b-v1", "comma-separated models to load")
	cmd.Flags().IntVar(&cost.Slots, "slots", cost.Slots, "maximum number of concurrent requests")
	cmd.Flags().DurationVar(&cost.StepBase, "step", cost.StepBase, "fixed part of a step's duration")
	cmd.Flags().BoolVar(&flags.vm.ChecksFencing, "checks-fencing", false, "reject orders with an outdated fencing token")
	return cmd
}

func serviceCommand() *cobra.Command {
	var flags vmFlags
	cmd := &cobra.Command{Use: "service", Short: "Runs a stand-in for a plain service", Args: cobra.NoArgs}
	cmd.RunE = func(*cobra.Command, []string) error {
		flags.vm.Role = ports.ServiceRole
		return serve("service", flags.listen, service.New(1).Handler(), flags.register)
	}
	flags.addTo(cmd)
	cmd.Flags().StringVar(&flags.vm.Service, "service", "ledger", "name of the service")
	return cmd
}
