// Package platform defines what the system asks of the platform it runs on. Each interface has one
// adapter package, so that another wire form replaces one package only.
package platform

import (
	"context"
	"errors"
	"time"
)

// Stream names one ordered stream of the log service.
type Stream string

// The streams that the system uses.
const (
	// StreamConfig carries configuration changes and snapshots.
	StreamConfig Stream = "config"
	// StreamControl carries membership, ownership, grants and slot orders.
	StreamControl Stream = "control"
	// StreamActions carries intents and outcomes of calls that may not be repeated.
	StreamActions Stream = "actions"
)

// Record is one record of a stream.
type Record struct {
	// Offset is the position in the stream, counted from zero without gaps.
	Offset uint64
	// Time is when the log service accepted the record, by its own clock.
	Time time.Time
	// Data is the encoded record.
	Data []byte
}

// Batch is the answer to a read.
type Batch struct {
	// Records are in offset order and may be empty.
	Records []Record
	// First is the oldest offset that the log still keeps.
	First uint64
	// Next is the offset that the next append will get; a reader at Next has reached the tail.
	Next uint64
}

// ErrUnavailable means that the service could not be reached or refused to answer. An append that
// fails with it may still have taken effect.
var ErrUnavailable = errors.New("platform service unavailable")

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset. After an error the record may or may not
	// be in the log: the caller reads back to find out.
	Append(ctx context.Context, s Stream, data []byte) (uint64, error)
	// Read returns records from an offset on. When there are none it waits up to wait for one.
	Read(ctx context.Context, s Stream, from uint64, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is what the platform's list says of an instance.
type InstanceState string

// The states of the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list, which lags by tens of seconds.
type Instance struct {
	ID         string        `json:"id"`
	DataCentre string        `json:"data_centre"`
	PeerAddr   string        `json:"peer_addr"`
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	// List returns the live and leaving instances known to the platform.
	List(ctx context.Context) ([]Instance, error)
}
