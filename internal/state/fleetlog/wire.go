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
	// compressed is the first byte of a record that is compressed; JSON never begins with it.
	compressed = 0x01
	// compressFrom is the size in bytes of the JSON from which a record is compressed. Below it little is gained.
	compressFrom = 512
	// maxRecord bounds the JSON of a record in bytes: a heartbeat with all uses has some 30 KB.
	maxRecord = 1 << 20
)

// Writers and readers are kept, since each has tables of some hundred kilobytes, more than the records themselves.
var (
	deflaters = sync.Pool{New: func() any {
		// The level is valid, so no error is possible.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Encode returns the wire form of a record: JSON, compressed if it is long. A started instance reads the whole history,
// over links of some megabits per second, before it knows the fleet.
func Encode(r Record) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil || len(plain) < compressFrom {
		return plain, trace.Wrap(err)
	}
	out := bytes.NewBuffer(make([]byte, 0, len(plain)/2))
	out.WriteByte(compressed)
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
	if len(b) > 0 && b[0] == compressed {
		var err error
		if b, err = inflate(b[1:]); err != nil {
			return Record{}, trace.Wrap(err, "a record of the fleet's stream cannot be read")
		}
	}
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, trace.Wrap(err, "a record of the fleet's stream cannot be read")
	}
	if r.Instance == "" || r.Incarnation == "" {
		return Record{}, trace.BadParameter("a record of the fleet's stream has no author")
	}
	return r, nil
}

func inflate(b []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxRecord+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(plain) > maxRecord {
		return nil, trace.LimitExceeded("the record is longer than %d bytes", maxRecord)
	}
	return plain, nil
}
