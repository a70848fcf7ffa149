package ctl

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform"
)

// contentCommand returns the commands for quarantined request contents and parts of
// prompts. They call the store of an operator's platform.
func contentCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "content", Short: "Lists and releases request contents and parts of prompts that end backend servers, on an operator's platform"}
	var store string
	cmd.PersistentFlags().StringVar(&store, "store", "", "address of the platform's store")
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "Lists the stored request contents and parts of prompts with their lost servers", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return o.listContents(store) },
		},
		&cobra.Command{
			Use: "lift UNIT", Short: "Lets a request content, or requests with a part of a prompt, be sent to backend servers again", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return o.liftContent(store, args[0]) },
		},
	)
	return cmd
}

// contentStatus is the output for one request content or part of prompts.
type contentStatus struct {
	// Content is the key of the content or part in the store. Part is the id of a part,
	// empty for contents.
	Content     string    `json:"content"`
	Kind        string    `json:"kind"`
	Part        string    `json:"part,omitempty"`
	Ended       int       `json:"ended"`
	Interrupted int       `json:"interrupted"`
	Answered    int       `json:"answered"`
	Quarantined bool      `json:"quarantined"`
	LastLoss    time.Time `json:"last_loss"`
}

func newContentStatus(e *quarantine.Entry) contentStatus {
	s := e.Status()
	return contentStatus{
		Content: digest.UnitKey(e), Kind: e.Dimension.String(), Part: e.Name, Ended: s.Ended, Interrupted: s.Interrupted, Answered: s.Answered,
		Quarantined: s.Quarantined, LastLoss: time.UnixMilli(s.LastLossMillis).UTC(),
	}
}

// storeClient returns a client of the store at the given address.
func storeClient(store string) (*platform.Client, error) {
	if store == "" {
		return nil, &app.ExitError{Code: app.ExitUsage, Err: errors.New("--store is required")}
	}
	return platform.NewClient(store, store, platform.Hooks{}), nil
}

func (o *options) storedContents(store string) ([]quarantine.Entry, error) {
	client, err := storeClient(store)
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.context()
	defer cancel()
	items, _, err := client.ListNewest(ctx, digest.ContentsTopic)
	if err != nil {
		return nil, &app.ExitError{Code: app.ExitUnavailable, Err: errors.Wrap(err, "list request contents")}
	}
	var entries []quarantine.Entry
	for _, it := range items {
		if len(it.Value) == 0 {
			continue
		}
		e, err := digest.UnmarshalStoredContent(it.Key, it.Value, it.Position.Era())
		if err != nil {
			return nil, &app.ExitError{Code: app.ExitFailed, Err: errors.Wrapf(err, "decode request content %s", it.Key)}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (o *options) listContents(store string) error {
	entries, err := o.storedContents(store)
	if err != nil {
		return err
	}
	list := []contentStatus{}
	var rows [][]string
	for i := range entries {
		s := newContentStatus(&entries[i])
		list = append(list, s)
		rows = append(rows, []string{s.Content, s.Kind, cmp.Or(s.Part, "-"), strconv.Itoa(s.Ended), strconv.Itoa(s.Interrupted), strconv.Itoa(s.Answered), strconv.FormatBool(s.Quarantined), s.LastLoss.Format(time.RFC3339)})
	}
	return o.print(list, []string{"UNIT", "KIND", "PART", "ENDED", "INTERRUPTED", "ANSWERED", "QUARANTINED", "LAST LOSS"}, rows)
}

func (o *options) liftContent(store, key string) error {
	entries, err := o.storedContents(store)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(entries, func(e quarantine.Entry) bool { return digest.UnitKey(&e) == key })
	if i < 0 {
		return &app.ExitError{Code: app.ExitFailed, Err: errors.Newf("the store holds no request content or part %q", key)}
	}
	client, err := storeClient(store)
	if err != nil {
		return err
	}
	ctx, cancel := o.context()
	defer cancel()
	lifted := entries[i].Lift(time.Now())
	if _, err := client.Append(ctx, digest.ContentsTopic, platform.EncodeKeyed(key, digest.MarshalContent(&lifted))); err != nil {
		return &app.ExitError{Code: app.ExitUnavailable, Err: errors.Wrapf(err, "lift the quarantine of %s", key)}
	}
	s := newContentStatus(&lifted)
	return o.print(s, []string{"UNIT", "QUARANTINED"}, [][]string{{s.Content, strconv.FormatBool(s.Quarantined)}})
}
