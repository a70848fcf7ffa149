// Package lab runs every role and stand-in in one process on loopback, sends
// real requests while faults come and go, and judges what callers saw.
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
	"coltsfootpath.example/coltsfootpath/internal/coordination/platform"
	"coltsfootpath.example/coltsfootpath/internal/ctl"
	"coltsfootpath.example/coltsfootpath/internal/movebench"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
)

// Options are the lab's flags.
type Options struct {
	Requests int
	Spread   time.Duration
	Seed     uint64
	Faults   bool
}

// Command returns the lab's command.
func Command() *cobra.Command {
	var o Options
	cmd := &cobra.Command{
		Use:   "coltsfoot-lab",
		Short: "Runs the whole system with stand-ins in one process and judges what callers saw",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rep, err := Run(context.Background(), o, os.Stdout)
			if err != nil {
				return &app.CodeError{Code: app.ExitFailed, Err: err}
			}
			rep.Write(os.Stdout)
			if rep.Failed() {
				return &app.CodeError{Code: app.ExitFailed, Err: errors.New("the lab failed")}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&o.Requests, "requests", 1500, "requests to send")
	cmd.Flags().DurationVar(&o.Spread, "spread", 12*time.Second, "time over which they are sent")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the requests and faults")
	cmd.Flags().BoolVar(&o.Faults, "faults", true, "switch faults on while requests run")
	cmd.AddCommand(soakCommand(), faultsCommand(), movebench.Command(), moveCommand())
	return cmd
}

const readyTimeout = 15 * time.Second

// readyWorld starts a world and waits until every entry VM has the document.
func readyWorld(ctx context.Context, size Size, seed uint64) (*World, error) {
	w, err := NewWorld(size, seed)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := w.submit(ctx); err != nil {
		w.Close()
		return nil, err
	}
	if err := w.WaitReady(ready); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// Run runs the lab once.
func Run(ctx context.Context, o Options, progress io.Writer) (Report, error) {
	begun := time.Now()
	w, err := readyWorld(ctx, DefaultSize, o.Seed)
	if err != nil {
		return Report{}, err
	}
	defer w.Close()
	fmt.Fprintf(progress, "lab: %d entry VMs ready after %v\n", DefaultSize.EntryVMs, time.Since(begun).Round(time.Millisecond))
	load := NewLoad(w.EntryAddresses())
	defer load.Close()
	done := make(chan struct{})
	go showProgress(progress, load, o.Requests, done)
	if o.Faults {
		go w.cause(ctx, o.Spread, progress)
	}
	load.Run(ctx, makePlans(o.Requests, rand.New(rand.NewPCG(o.Seed, 4))), o.Spread)
	close(done)
	return Summarise(load.Results(), w.RunsByKey(), w.Work(DefaultSize), time.Since(begun)), nil
}

func (w *World) submit(ctx context.Context) error {
	data, err := json.Marshal(Document())
	if err != nil {
		return err
	}
	client := ctl.AdminClient{Address: w.AdminAddress(), Token: adminToken}
	answer, err := client.Submit(ctx, adminapi.SubmitRequest{Operator: "lab", Document: data})
	if err != nil {
		return err
	}
	if answer.Result != adminapi.Accepted {
		return errors.Newf("document is %s: %v %s", answer.Result, answer.Findings, answer.Message)
	}
	return nil
}

func showProgress(out io.Writer, load *Load, requests int, done <-chan struct{}) {
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

// cause switches faults on and off over the time that requests are sent.
func (w *World) cause(ctx context.Context, spread time.Duration, progress io.Writer) {
	steps := []struct {
		name string
		do   func()
	}{
		{"log loses a fifth of its append answers", func() { w.Log.SetFaults(logservice.Faults{LoseAnswers: 0.2}) }},
		{"one engine dies", func() { w.KillEngine("engine-05") }},
		{"log is healthy again", func() { w.Log.SetFaults(logservice.Faults{}) }},
		{"zone-b's engines are reclaimed", func() { w.Cloud.Reclaim(reclaimNotice, enginesIn("zone-b")) }},
		{"one entry VM dies", func() { w.KillEntry("entry-03") }},
		{"one entry VM drains", func() { go func() { _ = w.DrainEntry(ctx, "entry-04") }() }},
	}
	for _, s := range steps {
		select {
		case <-time.After(spread / time.Duration(len(steps)+1)):
		case <-ctx.Done():
			return
		}
		fmt.Fprintf(progress, "lab: fault: %s\n", s.name)
		s.do()
	}
}

func enginesIn(zone string) func(platform.VM) bool {
	return func(vm platform.VM) bool { return vm.Role == platform.EngineRole && vm.AvailabilityZone == zone }
}
