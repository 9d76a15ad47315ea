package enginehttp

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
)

// FuzzResponses guards against a response or stream of an engine that makes the reader panic or never end, or
// that reports a token usage out of range, which would distort the accounting.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a@1","usage":{"total_tokens":3}}`, `{"model":"a@1","usage":{"total_tokens":-3}}`, `[`,
		"id: 0\ndata: {\"model\":\"a@1\"}\n\n: ping\n\ndata: [DONE]\n\n", "id: -1\ndata: 1\n\n", "data: {}\r\n\r\n", "\xef\xbb\xbfid:0\ndata\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if resp, _, err := decodeResponse(data); err == nil && (checkUsage(resp.Usage) != nil || !json.Valid(resp.Body)) {
			t.Fatalf("accepted %q", data)
		}
		r := newReader(io.NopCloser(bytes.NewReader(data)), func() {})
		defer func() { _ = r.Close() }()
		for range len(data) + 1 {
			c, err := r.Next()
			if err != nil || c.Done {
				return
			}
			if !json.Valid(c.Data) || c.Usage != nil && checkUsage(*c.Usage) != nil {
				t.Fatalf("accepted %q", c.Data)
			}
		}
		t.Fatal("the stream does not end")
	})
}
