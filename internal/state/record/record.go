// Package record defines the envelope of the records in the platform's log. Records are JSON, so that operators can
// read the log with common tools.
package record

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Kind names the type of a record's body.
type Kind string

// Envelope wraps one record. One append carries a list of envelopes, so that appends can be batched.
type Envelope struct {
	// Kind names the type of Body.
	Kind Kind `json:"kind"`
	// ID is unique per record. An append that is repeated because its response was lost has the same ID, so that
	// readers can ignore the second copy.
	ID string `json:"id"`
	// Incarnation is that of the author.
	Incarnation string `json:"incarnation"`
	// Body is the JSON of the record.
	Body json.RawMessage `json:"body"`
}

// Entry is an envelope with its position in the stream. Records of one append have the same offset and are
// distinguished by their index.
type Entry struct {
	Offset uint64
	Index  int
	// UnixMilli is when the log service accepted the append, by the clock of the log service.
	UnixMilli int64
	Envelope
}

// New returns an envelope with the body encoded as JSON.
func New(kind Kind, id, incarnation string, body any) (Envelope, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, trace.Wrap(err, "encoding a %s record", kind)
	}
	return Envelope{Kind: kind, ID: id, Incarnation: incarnation, Body: b}, nil
}

// Encode returns the data of one append with the records of the batch.
func Encode(batch []Envelope) ([]byte, error) {
	b, err := json.Marshal(batch)
	return b, trace.Wrap(err)
}

// Decode decodes the data of one append into its entries.
func Decode(offset uint64, unixMilli int64, data []byte) ([]Entry, error) {
	var batch []Envelope
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, trace.BadParameter("the data at offset %d is not a list of envelopes: %v", offset, err)
	}
	entries := make([]Entry, len(batch))
	for i, e := range batch {
		entries[i] = Entry{Offset: offset, Index: i, UnixMilli: unixMilli, Envelope: e}
	}
	return entries, nil
}

// Unmarshal decodes the body into v.
func (e Envelope) Unmarshal(v any) error {
	return trace.Wrap(json.Unmarshal(e.Body, v), "decoding a %s record", e.Kind)
}
