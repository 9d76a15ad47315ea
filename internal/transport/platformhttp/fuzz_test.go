package platformhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
)

// fixedResponse is a round tripper that responds to every request with the same body.
type fixedResponse []byte

func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(f)), Request: r}, nil
}

// FuzzResponses guards against responses of the platform that make the client panic, and against accepting records
// whose offsets no correct log can return, which a fold would apply.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		`{"first":0,"next":5,"records":[{"offset":3,"unix_ms":1,"data":"e30="},{"offset":4,"data":null}]}`,
		`{"next":5,"records":[{"offset":4},{"offset":3}]}`, `{"next":1}`, `{"offset":18446744073709551615}`,
		`[{"id":"a","peer_addr":"127.0.0.1:1","state":"live"}]`, `null`, `{"records":[null]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const from = 2
		log := NewLog("http://log", fixedResponse(data))
		_, _ = log.Append(context.Background(), "config", nil)
		_, _ = NewInstanceList("http://list", fixedResponse(data)).List(context.Background())
		batch, err := log.Read(context.Background(), "config", from, 10, 0)
		if err != nil {
			return
		}
		last := int64(from) - 1
		for _, r := range batch.Records {
			if int64(r.Offset) <= last || r.Offset >= batch.Next {
				t.Fatalf("accepted %s", data)
			}
			last = int64(r.Offset)
		}
	})
}
