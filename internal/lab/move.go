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

// MoveOptions are the flags of one version move over real sockets.
type MoveOptions struct {
	// Length is the time from the move's start to its deadline.
	Length time.Duration
	// Rate is the requests per second.
	Rate int
	Seed uint64
	// FailRatio and Stretch are the new version's faults; 0 for a good one.
	FailRatio float64
	Stretch   int
	Size      Size
	// KillHolder ends the entry VM of the lease holder in the middle.
	KillHolder bool
}

const (
	labMove       = "assistant-to-v2"
	statementWait = 20 * time.Second
	statementPoll = 200 * time.Millisecond
)

// MoveReport is how the move ended and what callers saw.
type MoveReport struct {
	Status adminapi.MoveStatus
	Calls  Report
}

// RunMove moves the assistant to its new version while requests run. Engines
// that lack the new version's model get it by the holder's orders.
func RunMove(ctx context.Context, o MoveOptions) (MoveReport, error) {
	begun := time.Now()
	w, err := NewWorld(o.Size, o.Seed)
	if err != nil {
		return MoveReport{}, err
	}
	defer w.Close()
	w.unloadNewModel()
	if err := w.submitMove(ctx, o.Length); err != nil {
		return MoveReport{}, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := w.WaitReady(readyCtx); err != nil {
		return MoveReport{}, err
	}
	w.SetEngineFaults(engine.Faults{Model: modelV2, FailRatio: o.FailRatio, StepsPerToken: o.Stretch})
	load := NewLoad(w.EntryAddresses())
	defer load.Close()
	if o.KillHolder {
		time.AfterFunc(o.Length/2, w.killHolder)
	}
	count := int(float64(o.Rate) * o.Length.Seconds())
	load.Run(ctx, makePlans(count, rand.New(rand.NewPCG(o.Seed, 4))), o.Length)
	status, err := w.awaitStatement(ctx)
	calls := Summarise(load.Results(), w.RunsByKey(), w.Work(o.Size), time.Since(begun))
	return MoveReport{Status: status, Calls: calls}, err
}

// unloadNewModel makes the engines begin with the old version alone.
func (w *World) unloadNewModel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		e.engine.Unload(modelV2)
	}
}

// killHolder ends the entry VM whose coordinator holds the lease.
func (w *World) killHolder() {
	w.mu.Lock()
	coordinators := maps.Clone(w.coordinators)
	w.mu.Unlock()
	for id, c := range coordinators {
		client := ctl.AdminClient{Address: c.AdminAddress(), Token: adminToken}
		status, err := client.Status(context.Background())
		if err == nil && status.HoldsLease {
			w.KillEntry(id)
			return
		}
	}
}

func (w *World) submitMove(ctx context.Context, length time.Duration) error {
	doc := Document()
	start := time.Now()
	doc.Moves = []document.Move{{
		Name: labMove, Service: assistantService, From: "v1", To: "v2", Start: start, Deadline: start.Add(length),
	}}
	doc.SetDefaults()
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	answer, err := w.adminClient().Submit(ctx, adminapi.SubmitRequest{Operator: "lab", Document: data})
	if err != nil {
		return err
	}
	if answer.Result != adminapi.Accepted || len(answer.Warnings) > 0 {
		return errors.Newf("document is %s: %v %v %s", answer.Result, answer.Findings, answer.Warnings, answer.Message)
	}
	return nil
}

func (w *World) adminClient() *ctl.AdminClient {
	return &ctl.AdminClient{Address: w.AdminAddress(), Token: adminToken}
}

// awaitStatement waits until any coordinator tells how the move ended.
func (w *World) awaitStatement(ctx context.Context) (adminapi.MoveStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statementWait)
	defer cancel()
	for {
		answer, err := w.adminClient().Moves(ctx)
		if err == nil && len(answer.Moves) == 1 && answer.Moves[0].Progress.Statement != nil {
			return answer.Moves[0], nil
		}
		select {
		case <-time.After(statementPoll):
		case <-ctx.Done():
			return adminapi.MoveStatus{}, errors.Wrap(ctx.Err(), "no statement")
		}
	}
}

// Write prints how the move ended and what callers saw.
func (r MoveReport) Write(out io.Writer) {
	s := r.Status.Progress.Statement
	fmt.Fprintf(out, "move %s: %s after %v of %v, %d steps\n", r.Status.Move.Name, s.Result,
		s.At.Sub(r.Status.Move.Start).Round(time.Millisecond), r.Status.Move.Deadline.Sub(r.Status.Move.Start), r.Status.Progress.Steps)
	_ = ctl.WriteMove(out, r.Status)
	r.Calls.Write(out)
}

func moveCommand() *cobra.Command {
	o := MoveOptions{Size: DefaultSize}
	cmd := &cobra.Command{
		Use:   "move",
		Short: "Moves one version over real sockets, with or without a fault",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			rep, err := RunMove(context.Background(), o)
			if err != nil {
				return &app.CodeError{Code: app.ExitFailed, Err: err}
			}
			rep.Write(os.Stdout)
			bad := o.FailRatio > 0 || o.Stretch > 1
			if rep.Calls.Failed() || bad == (rep.Status.Progress.Statement.Result == control.MoveFinished) {
				return &app.CodeError{Code: app.ExitFailed, Err: errors.New("the move ended wrong")}
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&o.Length, "length", 40*time.Second, "time from the start to the deadline")
	cmd.Flags().IntVar(&o.Rate, "rate", 120, "requests per second")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the requests")
	cmd.Flags().Float64Var(&o.FailRatio, "fail-ratio", 0, "part of the new version's requests that fail")
	cmd.Flags().IntVar(&o.Stretch, "stretch", 0, "times as many steps per token on the new version")
	cmd.Flags().BoolVar(&o.KillHolder, "kill-holder", false, "end the lease holder's entry VM in the middle")
	return cmd
}
