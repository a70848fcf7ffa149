package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
)

func moveCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "move", Short: "Shows and cancels version moves"}
	cmd.AddCommand(moveListCommand(o), moveStatusCommand(o), moveCancelCommand(o))
	return cmd
}

func (o *options) moves() (adminapi.MovesAnswer, error) {
	return callCoordinator(o, (*AdminClient).Moves)
}

func moveListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Lists moves in progress and recently ended moves", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			answer, err := o.moves()
			if err != nil {
				return err
			}
			return o.print(answer, []string{"MOVE", "SERVICE", "FROM", "TO", "SHARE", "DEADLINE", "RESULT"}, moveRows(answer))
		},
	}
}

func moveRows(answer adminapi.MovesAnswer) [][]string {
	var rows [][]string
	for _, m := range answer.Moves {
		rows = append(rows, []string{
			m.Move.Name, m.Move.Service, m.Move.From, m.Move.To, sharePercent(m), m.Move.Deadline.Format(time.RFC3339), moveResult(m),
		})
	}
	return rows
}

func sharePercent(m adminapi.MoveStatus) string {
	return fmt.Sprintf("%.1f%%", float64(m.Progress.SharePermille)/10)
}

func moveResult(m adminapi.MoveStatus) string {
	switch {
	case m.Progress.FinalStatus != nil:
		return string(m.Progress.FinalStatus.Result)
	case m.Progress.Halted():
		return "being taken back"
	}
	return "under way"
}

func moveStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status NAME", Short: "Shows a move's progress or its final status", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			answer, err := o.moves()
			if err != nil {
				return err
			}
			for _, m := range answer.Moves {
				if m.Move.Name == args[0] {
					return o.printMove(m)
				}
			}
			return &app.ExitError{Code: app.ExitFailed, Err: errors.Newf("move %q does not exist", args[0])}
		},
	}
}

func (o *options) printMove(m adminapi.MoveStatus) error {
	return o.print(m, []string{"MOVE", m.Move.Name}, moveDetails(m))
}

// WriteMove writes a move in the table format of "move status".
func WriteMove(out io.Writer, m adminapi.MoveStatus) error {
	o := &options{output: outputTable, out: out}
	return o.printMove(m)
}

func moveDetails(m adminapi.MoveStatus) [][]string {
	rows := [][]string{
		{"service", m.Move.Service},
		{"from", m.Move.From},
		{"to", m.Move.To},
		{"start", m.Move.Start.Format(time.RFC3339)},
		{"deadline", m.Move.Deadline.Format(time.RFC3339)},
		{"share", sharePercent(m)},
		{"steps", strconv.Itoa(m.Progress.Steps)},
		{"result", moveResult(m)},
	}
	if s := m.Progress.FinalStatus; s != nil {
		return append(rows, []string{"at", s.At.Format(time.RFC3339)}, []string{"reason", s.Reason}, []string{"evidence", s.Evidence})
	}
	if c := m.Progress.Cancel; c != nil {
		rows = append(rows, []string{"cancelled by", c.Operator})
	}
	if s := m.Progress.LastStep; s != nil {
		rows = append(rows, []string{"last step", s.At.Format(time.RFC3339)})
	}
	return rows
}

func moveCancelCommand(o *options) *cobra.Command {
	var operator string
	cmd := &cobra.Command{
		Use: "cancel NAME", Short: "Cancels a move and rolls it back", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			answer, err := callCoordinator(o, func(client *AdminClient, ctx context.Context) (adminapi.CancelAnswer, error) {
				return client.CancelMove(ctx, adminapi.CancelRequest{Move: args[0], Operator: operator})
			})
			if err != nil {
				return err
			}
			if err := o.print(answer, []string{"RESULT", "MESSAGE"}, [][]string{{string(answer.Result), answer.Message}}); err != nil {
				return err
			}
			if code, failed := resultExitCodes[answer.Result]; failed {
				return &app.ExitError{Code: code, Err: errors.Newf("the result of the cancellation is %s", answer.Result)}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&operator, "operator", os.Getenv("USER"), "name of the cancelling operator")
	return cmd
}
