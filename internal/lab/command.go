// Package lab runs all roles and stand-ins in one process over loopback, sends
// real requests while faults are injected, and checks the callers' results.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/ctl"
	"coltsfootpath.example/coltsfootpath/internal/movebench"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
)

// Options holds the lab's flags.
type Options struct {
	Requests     int
	LoadDuration time.Duration
	Seed         uint64
	InjectFaults bool
}

// Command returns the lab's root command.
func Command() *cobra.Command {
	var o Options
	cmd := &cobra.Command{
		Use:   "coltsfoot-lab",
		Short: "Runs the complete system with stand-ins in one process and checks the callers' results",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rep, err := Run(context.Background(), o, os.Stdout)
			if err != nil {
				return &app.ExitError{Code: app.ExitFailed, Err: err}
			}
			rep.Write(os.Stdout)
			if rep.Failed() {
				return &app.ExitError{Code: app.ExitFailed, Err: errors.New("lab run failed")}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&o.Requests, "requests", 1500, "number of requests to send")
	cmd.Flags().DurationVar(&o.LoadDuration, "spread", 12*time.Second, "time over which the requests are sent")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the requests and faults")
	cmd.Flags().BoolVar(&o.InjectFaults, "faults", true, "inject faults while requests run")
	cmd.AddCommand(soakCommand(), faultsCommand(), movebench.Command(), moveCommand())
	return cmd
}

const readyTimeout = 15 * time.Second

// startReadyCluster starts a cluster, submits the document and waits until
// every entry VM is ready.
func startReadyCluster(ctx context.Context, size Size, seed uint64) (*Cluster, error) {
	c, err := NewCluster(size, seed)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.submitDocument(ctx); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.WaitReady(ready); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Run runs the lab once and returns its report. It writes lines on its progress
// to progress.
func Run(ctx context.Context, o Options, progress io.Writer) (Report, error) {
	startedAt := time.Now()
	c, err := startReadyCluster(ctx, DefaultSize, o.Seed)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	fmt.Fprintf(progress, "lab: %d entry VMs ready after %v\n", DefaultSize.EntryVMs, time.Since(startedAt).Round(time.Millisecond))
	load := NewLoadGenerator(c.EntryAddresses())
	defer load.Close()
	done := make(chan struct{})
	go showProgress(progress, load, o.Requests, done)
	if o.InjectFaults {
		go c.injectFaults(ctx, o.LoadDuration, progress)
	}
	load.Run(ctx, drawRequests(o.Requests, rand.New(rand.NewPCG(o.Seed, 4))), o.LoadDuration)
	close(done)
	return Summarise(load.Results(), c.RunsByKey(), c.Work(DefaultSize), time.Since(startedAt)), nil
}

func (c *Cluster) submitDocument(ctx context.Context) error {
	data, err := json.Marshal(Document())
	if err != nil {
		return err
	}
	client := ctl.AdminClient{Address: c.AdminAddress(), Token: adminToken}
	answer, err := client.Submit(ctx, adminapi.SubmitRequest{Operator: "lab", Document: data})
	if err != nil {
		return err
	}
	if answer.Result != adminapi.Accepted {
		return errors.Newf("submitted document is %s: %v %s", answer.Result, answer.Findings, answer.Message)
	}
	return nil
}

func showProgress(out io.Writer, load *LoadGenerator, requests int, done <-chan struct{}) {
	ticker := time.NewTicker(3 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fmt.Fprintf(out, "lab: %d of %d requests answered\n", len(load.Results()), requests)
		case <-done:
			return
		}
	}
}

const reclaimNotice = 2 * time.Second

// injectFaults injects a fixed sequence of faults, spread evenly over the time
// in which requests are sent.
func (c *Cluster) injectFaults(ctx context.Context, duration time.Duration, progress io.Writer) {
	steps := []struct {
		name  string
		apply func()
	}{
		{"log loses a fifth of its append answers", func() { c.Log.SetFaults(logservice.Faults{AnswerLossRatio: 0.2}) }},
		{"one engine dies", func() { c.KillEngine("engine-05") }},
		{"log is healthy again", func() { c.Log.SetFaults(logservice.Faults{}) }},
		{"zone-b's engines are reclaimed", func() { c.Cloud.Reclaim(reclaimNotice, enginesIn("zone-b")) }},
		{"one entry VM dies", func() { c.KillEntry("entry-03") }},
		{"one entry VM drains", func() { go func() { _ = c.DrainEntry(ctx, "entry-04") }() }},
	}
	for _, s := range steps {
		select {
		case <-time.After(duration / time.Duration(len(steps)+1)):
		case <-ctx.Done():
			return
		}
		fmt.Fprintf(progress, "lab: fault: %s\n", s.name)
		s.apply()
	}
}

func enginesIn(zone string) func(ports.VM) bool {
	return func(vm ports.VM) bool { return vm.Role == ports.EngineRole && vm.AvailabilityZone == zone }
}
