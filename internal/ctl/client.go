package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
)

const maxAnswerBytes = 16 << 20

var httpClient = &http.Client{Transport: newTransport()}

// newTransport returns the default transport with connections on which answers are checked.
func newTransport() http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = http1.Checked(t.DialContext)
	return t
}

// AdminClient calls the admin API of one coordinator.
type AdminClient struct {
	Address string
	Token   string
}

// do sends a request, with in as its JSON body unless in is nil. It decodes the answer
// into out if the status is 200 or one of accepted.
func (c *AdminClient) do(ctx context.Context, method, path string, in, out any, accepted ...int) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, body)
	if err != nil {
		return &app.ExitError{Code: app.ExitUsage, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := httpClient.Do(req)
	if err != nil {
		return &app.ExitError{Code: app.ExitUnavailable, Err: errors.Wrap(err, "call coordinator")}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &app.ExitError{Code: app.ExitUnavailable, Err: err}
	}
	for _, status := range append(accepted, http.StatusOK) {
		if resp.StatusCode == status {
			return errors.Wrap(json.Unmarshal(data, out), "decode answer")
		}
	}
	return statusError(resp.StatusCode, data)
}

// statusError returns the error for an answer with an unexpected status.
func statusError(status int, data []byte) error {
	var answer adminapi.ErrorAnswer
	if json.Unmarshal(data, &answer) != nil || answer.Error == "" {
		answer.Error = http.StatusText(status)
	}
	code := app.ExitFailed
	if status == http.StatusServiceUnavailable {
		code = app.ExitUnavailable
	}
	return &app.ExitError{Code: code, Err: errors.Newf("coordinator answered %d: %s", status, answer.Error)}
}

// Submit submits a document.
func (c *AdminClient) Submit(ctx context.Context, in adminapi.SubmitRequest) (adminapi.SubmitAnswer, error) {
	var answer adminapi.SubmitAnswer
	err := c.do(ctx, http.MethodPost, adminapi.DocumentPath, in, &answer,
		http.StatusConflict, http.StatusUnprocessableEntity, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	return answer, err
}

// Document returns the active document.
func (c *AdminClient) Document(ctx context.Context) (adminapi.DocumentAnswer, error) {
	var answer adminapi.DocumentAnswer
	err := c.do(ctx, http.MethodGet, adminapi.DocumentPath, nil, &answer)
	return answer, err
}

// DocumentAt returns the document of an earlier revision.
func (c *AdminClient) DocumentAt(ctx context.Context, revision uint64) (adminapi.DocumentAnswer, error) {
	var answer adminapi.DocumentAnswer
	path := adminapi.DocumentPath + "?" + adminapi.RevisionQuery + "=" + strconv.FormatUint(revision, 10)
	err := c.do(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// History returns the newest accepted revisions, newest first.
func (c *AdminClient) History(ctx context.Context) (adminapi.HistoryAnswer, error) {
	var answer adminapi.HistoryAnswer
	err := c.do(ctx, http.MethodGet, adminapi.HistoryPath, nil, &answer)
	return answer, err
}

// Status returns the coordinator's status.
func (c *AdminClient) Status(ctx context.Context) (adminapi.StatusAnswer, error) {
	var answer adminapi.StatusAnswer
	err := c.do(ctx, http.MethodGet, adminapi.StatusPath, nil, &answer)
	return answer, err
}

// Moves returns the active moves and those that ended recently.
func (c *AdminClient) Moves(ctx context.Context) (adminapi.MovesAnswer, error) {
	var answer adminapi.MovesAnswer
	err := c.do(ctx, http.MethodGet, adminapi.MovesPath, nil, &answer)
	return answer, err
}

// CancelMove requests that a move be rolled back.
func (c *AdminClient) CancelMove(ctx context.Context, in adminapi.CancelRequest) (adminapi.CancelAnswer, error) {
	var answer adminapi.CancelAnswer
	err := c.do(ctx, http.MethodPost, adminapi.CancelPath, in, &answer,
		http.StatusConflict, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	return answer, err
}

func (o *options) client() (*AdminClient, error) {
	token, err := o.token()
	if err != nil {
		return nil, err
	}
	return &AdminClient{Address: o.admin, Token: token}, nil
}

// callCoordinator makes one call to the coordinator that the flags specify.
func callCoordinator[T any](o *options, call func(*AdminClient, context.Context) (T, error)) (T, error) {
	client, err := o.client()
	if err != nil {
		var zero T
		return zero, err
	}
	ctx, cancel := o.context()
	defer cancel()
	return call(client, ctx)
}
