package relayapi

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
)

// maxUnpackedBytes bounds the unpacked records of a reply: 8 MB of keys and values, as in a
// listing of the store, in base64 and with their names.
const maxUnpackedBytes = 24 << 20

// PackRecords returns records in the form of RecordsReply.Packed: JSON, compressed with
// DEFLATE. Records of one topic resemble each other.
func PackRecords(records []topicview.Record) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack records")
	}
	if err := json.NewEncoder(w).Encode(records); err != nil {
		return nil, errors.Wrap(err, "pack records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack records")
	}
	return out.Bytes(), nil
}

// unpack moves the records from Packed to Records.
func (r *RecordsReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	in := flate.NewReader(bytes.NewReader(r.Packed))
	data, err := io.ReadAll(io.LimitReader(in, maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(err, "unpack records")
	}
	if len(data) > maxUnpackedBytes {
		return errors.Newf("unpack records: more than %d bytes", maxUnpackedBytes)
	}
	r.Packed = nil
	return errors.Wrap(json.Unmarshal(data, &r.Records), "unpack records")
}
