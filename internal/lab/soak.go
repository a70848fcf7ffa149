package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
)

// SoakOptions holds the flags of the soak command.
type SoakOptions struct {
	Seed         uint64
	Minutes      float64
	Rounds       int
	Requests     int
	LoadDuration time.Duration
	// KeepGoing continues after a round that violated a guarantee.
	KeepGoing bool
}

// soakCommand returns the soak command.
func soakCommand() *cobra.Command {
	var o SoakOptions
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Runs seeded rounds of random faults until the time is up or a guarantee is violated",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := Soak(cmd.Context(), o, os.Stdout); err != nil {
				return &app.ExitError{Code: app.ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the first round, incremented for each later one")
	cmd.Flags().Float64Var(&o.Minutes, "minutes", 5, "time in minutes after which no round starts")
	cmd.Flags().IntVar(&o.Rounds, "rounds", 0, "maximum number of rounds; 0 for as many as fit the time")
	cmd.Flags().IntVar(&o.Requests, "requests", 600, "number of requests per round")
	cmd.Flags().DurationVar(&o.LoadDuration, "spread", 8*time.Second, "time over which a round's requests are sent")
	cmd.Flags().BoolVar(&o.KeepGoing, "keep-going", false, "continue after a round that violated a guarantee")
	return cmd
}

var soakSize = Size{AvailabilityZones: 4, EntryVMs: 6, Engines: 8, Services: 4, Workers: 128}

// ErrSoakFailed means that a round violated a guarantee.
var ErrSoakFailed = errors.New("a guarantee was violated")

// Soak runs rounds until the time is up or all rounds are done. It stops after
// the first round that violates a guarantee, unless KeepGoing is set.
func Soak(ctx context.Context, o SoakOptions, out io.Writer) error {
	until := time.Now().Add(time.Duration(o.Minutes * float64(time.Minute)))
	var total SoakReport
	var failedSeeds []uint64
	for round := 0; time.Now().Before(until) && (o.Rounds == 0 || round < o.Rounds); round++ {
		seed := o.Seed + uint64(round)
		rep, err := soakRound(ctx, o, seed)
		if err != nil {
			return errors.Wrapf(err, "round with seed %d", seed)
		}
		fmt.Fprintf(out, "soak: seed=%d %s\n", seed, rep)
		total.merge(rep)
		if !rep.Failed() {
			continue
		}
		failedSeeds = append(failedSeeds, seed)
		rep.writeDetails(out)
		if !o.KeepGoing {
			break
		}
	}
	fmt.Fprintf(out, "soak: all %s\n", total)
	if len(failedSeeds) > 0 {
		fmt.Fprintf(out, "soak: FAIL: seeds %d; the first again with: soak --seed %d --rounds 1\n", failedSeeds, failedSeeds[0])
		return ErrSoakFailed
	}
	fmt.Fprintln(out, "soak: PASS")
	return nil
}

// soakRound runs one round in a new cluster, with faults drawn from the seed.
func soakRound(ctx context.Context, o SoakOptions, seed uint64) (SoakReport, error) {
	breachesBefore := invariant.BreachCount()
	c, err := startReadyCluster(ctx, soakSize, seed)
	if err != nil {
		return SoakReport{}, err
	}
	defer c.Close()
	load := NewLoadGenerator(c.EntryAddresses())
	defer load.Close()
	faults := newFaultInjector(c, rand.New(rand.NewPCG(seed, 5)), seed)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		faults.run(ctx, o.LoadDuration)
	}()
	results := load.runSoak(ctx, drawRequests(o.Requests, rand.New(rand.NewPCG(seed, 4))), o.LoadDuration, seed)
	<-faultsDone
	load.resolve(ctx, results)
	rep := summariseSoak(results, c.RunsByKey(), faults)
	rep.InvariantViolations = invariant.BreachCount() - breachesBefore
	return rep, nil
}
