package config

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// TestMain sets the seed and the number of steps of the property tests and turns off failure files,
// unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		isSet := false
		flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
		if !isSet {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const validDocument = `{
 "fleet":{"weight_store":{"loads_per_second":4,"full_speed":1,"max_in_flight":8},"policy":{"worst_served":1,"worth":0}},
 "workspaces":{"w":{"tokens_per_second":100,"burst_tokens":1000}},
 "keys":{"0123456789abcdef":{"workspace":"w","hash":"` + testKeyHash + `"}},
 "adapters":{"org/a":{"workspace":"w","base_model":"m","versions":["1","2"],"default":"2"}},
 "routes":{"lots":{"workspace":"w","service":"rack","non_idempotent":true}},
 "backend_servers":{
  "e":{"kind":"engine","url":"http://127.0.0.1:1","data_centre":"d","base_model":"m","slots":4},
  "s":{"kind":"service","url":"http://127.0.0.1:2","data_centre":"d","service":"rack"}}}`

const testKeyHash = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// TestDocumentProblems guards against a check that misses a problem, stops at the first one or reports the
// wrong path.
func TestDocumentProblems(t *testing.T) {
	if _, err := ParseDocument([]byte(validDocument)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, path string }{
		{`"burst_tokens"`, `"burst":1,"burst_tokens"`, "/workspaces/w/burst"},
		{`"tokens_per_second":100`, `"tokens_per_second":-1`, "/workspaces/w/tokens_per_second"},
		{`"tokens_per_second":100`, `"tokens_per_second":1e999999999`, "/workspaces/w/tokens_per_second"},
		{`"org/a":{"workspace":"w"`, `"org/a":{"workspace":"x"`, "/adapters/org~1a/workspace"},
		{`def":{"workspace":"w"`, `def":{"workspace":"x"`, "/keys/0123456789abcdef/workspace"},
		{`"default":"2"`, `"default":"3"`, "/adapters/org~1a/default"},
		{`"service":"rack","non`, `"service":"dock","non`, "/routes/lots/service"},
		{`"slots":4`, `"slots":0`, "/backend_servers/e/slots"},
		{`"slots":4`, `"slots":2.5`, "/backend_servers/e/slots"},
		{`"slots":4`, `"slots":4,"slots":5`, "/backend_servers/e/slots"},
		{`"service":"rack"}}`, `"service":"rack","slots":1}}`, "/backend_servers/s/slots"},
		{`"full_speed":1`, `"full_speed":9`, "/fleet/weight_store/max_in_flight"},
		{`"org/a"`, `"a@b"`, "/adapters/a@b"},
		{`"fleet":`, `"fleets":{},"fleet":`, "/fleets"},
	} {
		text := strings.Replace(validDocument, c.old, c.new, 1)
		_, err := ParseDocument([]byte(text))
		if p := ProblemsOf(err); len(p) != 1 || p[0].Path != c.path {
			t.Errorf("%s: got %v, want one problem at %s", c.new, err, c.path)
		}
	}
	twoProblems := strings.NewReplacer(`"slots":4`, `"slots":-1`, `"default":"2"`, `"default":"3"`).Replace(validDocument)
	if _, err := ParseDocument([]byte(twoProblems)); len(ProblemsOf(err)) != 2 {
		t.Errorf("want two problems, got %v", err)
	}
}

// TestOperationProblems guards against operations that leave dangling references or are not checked
// against their schema.
func TestOperationProblems(t *testing.T) {
	d, _ := ParseDocument([]byte(validDocument))
	v := ViewOf(1, d)
	for _, c := range []struct{ ops, path string }{
		{`[{"op":"delete","kind":"workspace","id":"w"}]`, "/0"},
		{`[{"op":"delete","kind":"backend_server","id":"s"}]`, "/0"},
		{`[{"op":"put","kind":"adapter","id":"b","value":{"workspace":"w","base_model":"m","versions":[],"default":""}}]`, "/0/value/versions"},
		{`[{"op":"put","kind":"adapter","id":"b","value":{"workspace":"v","base_model":"m","versions":["1"],"default":"1"}}]`, "/0/value/workspace"},
		{`[{"op":"put","kind":"key","id":"short","value":{"workspace":"w","hash":"` + testKeyHash + `"}}]`, "/0/id"},
		{`[{"op":"put","kind":"route","id":"r"}]`, "/0/value"},
		{`[{"op":"put","kind":"fleet","id":"other","value":{}}]`, "/0"},
	} {
		ops, err := ParseOperations([]byte(c.ops))
		if err == nil {
			err = v.CheckOperations(ops)
		}
		if p := ProblemsOf(err); len(p) == 0 || p[0].Path != c.path {
			t.Errorf("%s: got %v, want a problem at %s", c.ops, err, c.path)
		}
	}
	deleteAll, err := Diff(d, Document{Fleet: d.Fleet})
	if err != nil || v.CheckOperations(deleteAll) != nil {
		t.Errorf("deleting all objects in one change: %v", v.CheckOperations(deleteAll))
	}
}

// TestSchemaMatchesTypes guards against a field that is in a type but not in the schema, or the reverse.
func TestSchemaMatchesTypes(t *testing.T) {
	var schema struct {
		Defs map[string]struct{ Properties map[string]any } `json:"$defs"`
	}
	if err := json.Unmarshal(schemaText, &schema); err != nil {
		t.Fatal(err)
	}
	for name, typ := range map[string]reflect.Type{
		"fleet": reflect.TypeFor[Fleet](), "workspace": reflect.TypeFor[Workspace](), "key": reflect.TypeFor[Key](),
		"adapter": reflect.TypeFor[Adapter](), "route": reflect.TypeFor[Route](),
		"backend_server": reflect.TypeFor[BackendServer](), "operation": reflect.TypeFor[Operation](),
	} {
		properties := schema.Defs[name].Properties
		for i := range typ.NumField() {
			field, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if _, ok := properties[field]; !ok || len(properties) != typ.NumField() {
				t.Errorf("%s: the schema and the type differ at %s", name, field)
			}
		}
	}
}

// TestAuthenticate guards against a lookup that accepts a withdrawn key, another key's secret or a
// malformed secret.
func TestAuthenticate(t *testing.T) {
	valid, _ := keys.Generate()
	unknown, _ := keys.Generate()
	v := ViewOf(1, Document{Keys: map[string]Key{valid.ID: {Workspace: "w", Hash: valid.Hash}}})
	if id, k, ok := v.Authenticate(valid.Secret); !ok || id != valid.ID || k.Workspace != "w" {
		t.Error("a valid key was refused")
	}
	mixed := "tw_" + valid.ID + unknown.Secret[len("tw_")+len(unknown.ID):]
	for _, secret := range []string{"", unknown.Secret, mixed, valid.Secret + "0", valid.Hash} {
		if _, _, ok := v.Authenticate(secret); ok {
			t.Errorf("%q was accepted", secret)
		}
	}
}

// TestDiffRoundTrip guards against a Diff that misses a difference or returns the operations in varying
// order.
func TestDiffRoundTrip(t *testing.T) {
	d, _ := ParseDocument([]byte(validDocument))
	ops, err := Diff(Document{}, d)
	if err != nil {
		t.Fatal(err)
	}
	v := NewView().mutableCopy()
	for _, o := range ops {
		if err := v.apply(o); err != nil {
			t.Fatal(err)
		}
	}
	remaining, _ := Diff(v.Document(), d)
	again, _ := Diff(Document{}, d)
	if len(remaining) != 0 || mustJSON(ops) != mustJSON(again) {
		t.Errorf("the operations vary in order or leave differences: %v", remaining)
	}
}

// FuzzParseDocument guards against untrusted input that crashes the decoder, and against a document that
// passes the check but is refused after it was encoded again.
func FuzzParseDocument(f *testing.F) {
	for _, seed := range []string{validDocument, `{}`, `null`, `[`, `{"adapters":null}`, `{"fleet":{"policy":{"worth":1e-400}}}`,
		`{"keys":{"a":1,"a":2}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseDocument(data)
		if err != nil {
			return
		}
		if _, err := ParseDocument([]byte(mustJSON(d))); err != nil {
			t.Fatalf("an accepted document was refused after encoding: %v", err)
		}
	})
}

// FuzzOperations guards against untrusted operations that crash the check or the fold, or that pass the
// check and are then not accepted by the fold.
func FuzzOperations(f *testing.F) {
	for _, seed := range []string{`[]`, `[{"op":"delete","kind":"key","id":"0123456789abcdef"}]`,
		`[{"op":"put","kind":"workspace","id":"v","value":{"tokens_per_second":1,"burst_tokens":1}}]`,
		`[{"op":"put","kind":"fleet","id":"fleet","value":null}]`, `[{"op":"put","kind":"route","id":"r","value":{"a":1e99999999}}]`} {
		f.Add([]byte(seed))
	}
	d, err := ParseDocument([]byte(validDocument))
	if err != nil {
		f.Fatal(err)
	}
	v := ViewOf(0, d)
	f.Fuzz(func(t *testing.T, data []byte) {
		ops, err := ParseOperations(data)
		if err != nil || v.CheckOperations(ops) != nil {
			return
		}
		e, _ := NewChange("id", "i", Change{Operations: ops})
		fold := NewFold()
		fold.view = v
		if r := fold.Apply(record.Entry{Envelope: e}); r.Outcome != Accepted {
			t.Fatalf("checked operations were not accepted: %+v", r)
		}
		if err := CheckDocument(fold.View().Document()); err != nil {
			t.Fatalf("checked operations led to an invalid document: %v", err)
		}
	})
}

// FuzzFold guards against log records or a peer's state that crash the fold or make it go back to an older
// version.
func FuzzFold(f *testing.F) {
	base := foldWithAdapters(2)
	snapshot, _ := mustCapture(base).Snapshot("s", "i")
	data, _ := record.Encode(snapshot)
	state, _ := mustCapture(base).Export()
	f.Add(data, state)
	f.Add([]byte(`[{"kind":"config_change","id":"a","body":{"base":0,"operations":[]}}]`), []byte(`{"version":5,"next":9}`))
	f.Add([]byte(`[{"kind":"config_snapshot","body":{"count":-1}}]`), []byte(`null`))
	f.Fuzz(func(t *testing.T, data, state []byte) {
		entries, err := record.Decode(9, 0, data)
		if err != nil {
			return
		}
		for _, fold := range []*Fold{NewFold(), foldWithAdapters(1)} {
			before := fold.View().Version()
			_, _, _ = fold.Import(state)
			for _, e := range entries {
				fold.Apply(e)
			}
			if fold.View().Version() < before {
				t.Fatal("the version decreased")
			}
		}
	})
}
