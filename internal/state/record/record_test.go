package record

import (
	"encoding/json"
	"testing"
)

// Guards against appended data that crashes a reader, and against a batch that changes when it is
// encoded again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`[]`, `null`, `{}`, `[{"kind":"claim","id":"a","incarnation":"i","body":{"x":1}}]`, `[{"body":null}]`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := Decode(7, 8, data)
		if err != nil {
			return
		}
		batch := make([]Envelope, len(entries))
		for i, e := range entries {
			if e.Offset != 7 || e.Index != i || e.UnixMilli != 8 {
				t.Fatalf("entry %d is at offset %d, index %d", i, e.Offset, e.Index)
			}
			var body any
			_ = e.Unmarshal(&body)
			batch[i] = e.Envelope
			if len(e.Body) == 0 {
				batch[i].Body = json.RawMessage("null")
			}
		}
		again, err := Encode(batch)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := Decode(7, 8, again); err != nil || len(second) != len(entries) {
			t.Fatalf("%d entries became %d: %v", len(entries), len(second), err)
		}
	})
}
