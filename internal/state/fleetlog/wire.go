package fleetlog

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// compressedMarker is the first byte of a compressed record. JSON never begins with it.
	compressedMarker = 0x01
	// minCompressBytes is the size of the JSON from which a record is compressed. Compression gains little below it.
	minCompressBytes = 512
	// maxRecordBytes bounds the JSON of a record. A heartbeat with the largest usage report has about 30 KB.
	maxRecordBytes = 1 << 20
)

// Compressors and decompressors are pooled, since each has tables of several hundred kilobytes, which is more than the
// records themselves.
var (
	deflaters = sync.Pool{New: func() any {
		// NewWriter only fails for an invalid level.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Encode returns the wire form of a record: JSON, compressed if it is long. An instance that starts has to read the
// whole history, over links of a few megabits per second, before it knows the fleet.
func Encode(r Record) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil || len(plain) < minCompressBytes {
		return plain, trace.Wrap(err)
	}
	out := bytes.NewBuffer(make([]byte, 0, len(plain)/2))
	out.WriteByte(compressedMarker)
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(out)
	if _, err := w.Write(plain); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// Decode reads the wire form of a record.
func Decode(b []byte) (Record, error) {
	if len(b) > 0 && b[0] == compressedMarker {
		var err error
		if b, err = inflate(b[1:]); err != nil {
			return Record{}, trace.Wrap(err, "decompressing a fleet record")
		}
	}
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, trace.Wrap(err, "decoding a fleet record")
	}
	if r.Instance == "" || r.Incarnation == "" {
		return Record{}, trace.BadParameter("a fleet record names no instance or no incarnation")
	}
	return r, checkFences(r)
}

// checkFences refuses eras and fences that no instance writes: one that is too high could not be replaced any more.
func checkFences(r Record) error {
	if c := r.Claim; c != nil && (c.Era < 0 || c.Era >= 1<<(fenceBits-offsetBits)) {
		return trace.BadParameter("a claim names the invalid era %d", c.Era)
	}
	if r.Heartbeat == nil {
		return nil
	}
	for worker, fence := range r.Heartbeat.Owned {
		if fence <= 0 || fence >= 1<<fenceBits {
			return trace.BadParameter("a heartbeat names the invalid fence %d of worker %s", fence, worker)
		}
	}
	return nil
}

func inflate(b []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(plain) > maxRecordBytes {
		return nil, trace.LimitExceeded("the record is longer than %d bytes", maxRecordBytes)
	}
	return plain, nil
}
