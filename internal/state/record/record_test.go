package record

import (
	"encoding/json"
	"testing"
)

// FuzzDecode guards against appended data that crashes a reader, and against a batch that changes when it is encoded
// again.
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
				t.Fatalf("entry %d has offset %d and index %d", i, e.Offset, e.Index)
			}
			var body any
			_ = e.Unmarshal(&body)
			batch[i] = e.Envelope
			if len(e.Body) == 0 {
				batch[i].Body = json.RawMessage("null")
			}
		}
		encoded, err := Encode(batch)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := Decode(7, 8, encoded); err != nil || len(decoded) != len(entries) {
			t.Fatalf("%d entries became %d: %v", len(entries), len(decoded), err)
		}
	})
}
