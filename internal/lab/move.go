package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/ctl"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// MoveOptions holds the flags of a version move over real sockets.
type MoveOptions struct {
	// Duration is the time from the move's start to its deadline.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate int
	Seed uint64
	// FailRatio is the fraction of the new version's requests that fail, 0 to 1.
	FailRatio float64
	// StepsPerToken is the number of decode steps per token of the new version; 0
	// means 1.
	StepsPerToken int
	Size          Size
	// KillLeaseHolder kills the lease holder's entry VM halfway through the move.
	KillLeaseHolder bool
}

const (
	moveName            = "assistant-to-v2"
	finalStatusTimeout  = 20 * time.Second
	finalStatusInterval = 200 * time.Millisecond
)

// MoveReport holds the final status of the move and the callers' results.
type MoveReport struct {
	Status adminapi.MoveStatus
	Calls  Report
}

// RunMove moves the assistant to its new version while requests run. Engines
// start without the new version's model; the lease holder orders them to load
// it.
func RunMove(ctx context.Context, o MoveOptions) (MoveReport, error) {
	startedAt := time.Now()
	c, err := NewCluster(o.Size, o.Seed)
	if err != nil {
		return MoveReport{}, err
	}
	defer c.Close()
	c.unloadNewModel()
	if err := c.submitMove(ctx, o.Duration); err != nil {
		return MoveReport{}, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.WaitReady(readyCtx); err != nil {
		return MoveReport{}, err
	}
	c.SetEngineFaults(engine.Faults{Model: modelV2, FailRatio: o.FailRatio, StepsPerToken: o.StepsPerToken})
	load := NewLoadGenerator(c.EntryAddresses())
	defer load.Close()
	if o.KillLeaseHolder {
		time.AfterFunc(o.Duration/2, c.killLeaseHolder)
	}
	count := int(float64(o.Rate) * o.Duration.Seconds())
	load.Run(ctx, drawRequests(count, rand.New(rand.NewPCG(o.Seed, 4))), o.Duration)
	status, err := c.awaitFinalStatus(ctx)
	calls := Summarise(load.Results(), c.RunsByKey(), c.Work(o.Size), time.Since(startedAt))
	return MoveReport{Status: status, Calls: calls}, err
}

// unloadNewModel unloads the new version's model on all engines, so that the
// move starts with only the old one.
func (c *Cluster) unloadNewModel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		e.engine.Unload(modelV2)
	}
}

// killLeaseHolder kills the entry VM whose coordinator holds the lease.
func (c *Cluster) killLeaseHolder() {
	c.mu.Lock()
	coordinators := maps.Clone(c.coordinators)
	c.mu.Unlock()
	for id, coord := range coordinators {
		client := ctl.AdminClient{Address: coord.AdminAddress(), Token: adminToken}
		status, err := client.Status(context.Background())
		if err == nil && status.HoldsLease {
			c.KillEntry(id)
			return
		}
	}
}

func (c *Cluster) submitMove(ctx context.Context, duration time.Duration) error {
	doc := Document()
	start := time.Now()
	doc.Moves = []document.Move{{
		Name: moveName, Service: assistantService, From: "v1", To: "v2", Start: start, Deadline: start.Add(duration),
	}}
	doc.SetDefaults()
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	answer, err := c.adminClient().Submit(ctx, adminapi.SubmitRequest{Operator: "lab", Document: data})
	if err != nil {
		return err
	}
	if answer.Result != adminapi.Accepted || len(answer.Warnings) > 0 {
		return errors.Newf("submitted document is %s: %v %v %s", answer.Result, answer.Findings, answer.Warnings, answer.Message)
	}
	return nil
}

func (c *Cluster) adminClient() *ctl.AdminClient {
	return &ctl.AdminClient{Address: c.AdminAddress(), Token: adminToken}
}

// awaitFinalStatus waits until a coordinator reports the move's final status.
func (c *Cluster) awaitFinalStatus(ctx context.Context) (adminapi.MoveStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, finalStatusTimeout)
	defer cancel()
	for {
		answer, err := c.adminClient().Moves(ctx)
		if err == nil && len(answer.Moves) == 1 && answer.Moves[0].Progress.FinalStatus != nil {
			return answer.Moves[0], nil
		}
		select {
		case <-time.After(finalStatusInterval):
		case <-ctx.Done():
			return adminapi.MoveStatus{}, errors.Wrap(ctx.Err(), "move has no final status")
		}
	}
}

// Write prints the final status of the move and the callers' results.
func (r MoveReport) Write(out io.Writer) {
	s := r.Status.Progress.FinalStatus
	fmt.Fprintf(out, "move %s: %s after %v of %v, %d steps\n", r.Status.Move.Name, s.Result,
		s.At.Sub(r.Status.Move.Start).Round(time.Millisecond), r.Status.Move.Deadline.Sub(r.Status.Move.Start), r.Status.Progress.Steps)
	_ = ctl.WriteMove(out, r.Status)
	r.Calls.Write(out)
}

func moveCommand() *cobra.Command {
	o := MoveOptions{Size: DefaultSize}
	cmd := &cobra.Command{
		Use:   "move",
		Short: "Runs one version move over real sockets, with or without faults",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rep, err := RunMove(context.Background(), o)
			if err != nil {
				return &app.ExitError{Code: app.ExitFailed, Err: err}
			}
			rep.Write(os.Stdout)
			faulty := o.FailRatio > 0 || o.StepsPerToken > 1
			if rep.Calls.Failed() || faulty == (rep.Status.Progress.FinalStatus.Result == control.MoveFinished) {
				return &app.ExitError{Code: app.ExitFailed, Err: errors.New("move did not end as expected")}
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "length", 40*time.Second, "time from the start to the deadline")
	cmd.Flags().IntVar(&o.Rate, "rate", 120, "requests per second")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the requests")
	cmd.Flags().Float64Var(&o.FailRatio, "fail-ratio", 0, "fraction of the new version's requests that fail, 0 to 1")
	cmd.Flags().IntVar(&o.StepsPerToken, "stretch", 0, "decode steps per token on the new version")
	cmd.Flags().BoolVar(&o.KillLeaseHolder, "kill-holder", false, "kill the lease holder's entry VM halfway through the move")
	return cmd
}
