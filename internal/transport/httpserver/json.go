package httpserver

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLarge is returned for a body that exceeds its limit.
var ErrBodyTooLarge = errors.New("body is too large")

// ReadBody reads the request's body. It returns ErrBodyTooLarge if the body is
// longer than limit bytes. The result must not be changed.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if b, ok := r.Body.(*body); ok {
		if b.isTooLong || int64(len(b.data)) > limit {
			return nil, ErrBodyTooLarge
		}
		return b.data, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if int64(len(data)) > limit {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}

// ReadJSON decodes the request's body, of at most limit bytes, into value.
func ReadJSON(r *http.Request, limit int64, value any) error {
	data, err := ReadBody(r, limit)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, value), "decode body")
}

// WriteJSON sends an answer with status and with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	WriteHeader(w, status)
	_, _ = w.Write(data)
}
