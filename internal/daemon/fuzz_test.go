package daemon

import (
	"encoding/json"
	"testing"
)

// FuzzParseSettings guards against settings that make the parser panic or that change their meaning when they are
// written and parsed again.
func FuzzParseSettings(f *testing.F) {
	defaults, err := json.Marshal(DefaultSettings())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(defaults)
	f.Add([]byte(`{"instance":"a","data_centre":"b","platform":{"log_url":"https://10.0.0.1:1","list_url":"https://a"},"tls":{"plain_text":true},"listen":{"callers":"[::]:1"}}`))
	f.Add([]byte(`{"limits":{"max_connections":1e9}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		if err != nil {
			return
		}
		written, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseSettings(written)
		if err != nil {
			t.Fatalf("marshaled settings %s are refused: %v", written, err)
		}
		if same, _ := json.Marshal(again); string(same) != string(written) {
			t.Fatalf("settings %s became %s after parsing and marshaling", written, same)
		}
	})
}
