// Package platform defines the interfaces of the platform on which the system runs: its log service and its list
// of instances. One package implements both, so that a change of the wire format affects only that package.
package platform

import (
	"context"
	"errors"
	"time"
)

// Stream is the name of an ordered stream of the log service.
type Stream string

// The streams that the system uses.
const (
	// StreamConfig contains changes and snapshots of the configuration.
	StreamConfig Stream = "config"
	// StreamControl contains membership, ownership, grants and slot orders.
	StreamControl Stream = "control"
	// StreamActions contains intents and outcomes of non-idempotent calls.
	StreamActions Stream = "actions"
)

// Record is a record of a stream.
type Record struct {
	// Offset is the position in the stream. Offsets start at zero and have no gaps.
	Offset uint64
	// Time is when the log service accepted the record, according to its own clock.
	Time time.Time
	// Data is the encoded record.
	Data []byte
}

// Batch is the result of a read.
type Batch struct {
	// Records are sorted by offset. There may be none.
	Records []Record
	// First is the oldest offset that is still kept.
	First uint64
	// Next is the offset of the next append. A reader at Next has reached the end of the stream.
	Next uint64
}

// ErrUnavailable means that the service could not be reached or did not serve the call. An append that
// fails with it may have taken effect.
var ErrUnavailable = errors.New("platform service unavailable")

// Log is the platform's append-only log service.
type Log interface {
	// Append appends a record and returns its offset. After an error the record may or may not be in the
	// stream; the caller must read the stream to find out.
	Append(ctx context.Context, s Stream, data []byte) (uint64, error)
	// Read returns at most limit records from offset from on. If there are none, it waits for one for at most wait.
	Read(ctx context.Context, s Stream, from uint64, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of instances in the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list, which shows changes tens of seconds late.
type Instance struct {
	ID         string        `json:"id"`
	DataCentre string        `json:"data_centre"`
	PeerAddr   string        `json:"peer_addr"`
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	// List returns the live and leaving instances that the platform knows.
	List(ctx context.Context) ([]Instance, error)
}
