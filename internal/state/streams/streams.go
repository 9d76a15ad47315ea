// Package streams holds on which software version of their workers resumable streams began. What workers of two versions write does
// not fit together, so that a stream may only go on at workers of the version that began it, also at another instance and after a
// restart of all instances.
//
// Most streams need no record: those that begin on the base version of their service, which is in the log for each service. The
// records of the others are appended before their callers get the first event.
package streams

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Start says that the stream which an attempt of a caller began, began on a software version of a service.
type Start struct {
	Attempt string `json:"a"`
	Service string `json:"s"`
	Version string `json:"v"`
	// Number counts the starts of an attempt that is sent again before its first event. The highest one counts: an append without an
	// answer may take effect after a later one.
	Number int64 `json:"n,omitempty"`
}

// Batch is one record of the log.
type Batch struct {
	// AtMilli is when the batch was appended, by the wall clock of its instance in Unix milliseconds.
	AtMilli int64   `json:"at"`
	Starts  []Start `json:"starts"`
}

// Encode returns the record of a batch.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, trace.Wrap(err)
}

// DecodeBatch decodes a record.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	err := json.Unmarshal(data, &b)
	return b, trace.Wrap(err)
}

// Base is the base version of a service as the log has it.
type Base struct {
	Version string `json:"version"`
	// Era is the era of the log in which it was set. In another era, records of streams may be missing.
	Era int64 `json:"era"`
}

// Encode returns the value of the record of a base version.
func (b Base) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, trace.Wrap(err)
}

// DecodeBase decodes the value of the record of a base version.
func DecodeBase(data []byte) (Base, error) {
	var b Base
	err := json.Unmarshal(data, &b)
	return b, trace.Wrap(err)
}
