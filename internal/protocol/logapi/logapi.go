// Package logapi defines the HTTP protocol of the platform's log service.
package logapi

// AppendRequest asks to append records to a stream.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer holds the offset of the first appended record.
type AppendAnswer struct {
	First uint64 `json:"first"`
}

// Record is one stored record.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadAnswer is the answer to a read. Earliest is the first offset that the log
// still holds. Next is the offset of the next read. Trimmed is true if the
// requested offset is before Earliest.
type ReadAnswer struct {
	Records  []Record `json:"records"`
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
	Trimmed  bool     `json:"trimmed,omitempty"`
}

// Path formats of the log service; %s stands for the stream's name.
const (
	AppendPath = "/v1/streams/%s/append"
	ReadPath   = "/v1/streams/%s/read"
)
