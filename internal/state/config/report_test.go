package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/turmericworks/turmericworks/internal/state/findings"
)

// TestFindings guards against a finding that is missed, has the wrong severity, path or line, or is reported for a
// document without faults.
func TestFindings(t *testing.T) {
	otherWorkspace := `"workspaces":{"v":{"tokens_per_second":1,"burst_tokens":%s},`
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"keys":`, `"leys":`, "error 4 /leys"},
		{`"workspaces":{`, fmt.Sprintf(otherWorkspace, "9"), "warning 3 /workspaces/v"},
		{`"burst_tokens":1000`, `"burst_tokens":1`, "error 3 /workspaces/w/burst_tokens"},
		{`"burst_tokens":1000`, `"burst_tokens":512`, "warning 3 /workspaces/w/burst_tokens"},
		{`"burst_tokens":1000`, `"burst_tokens":20000000`, "warning 3 /workspaces/w/burst_tokens"},
		{`"burst_tokens":1000`, `"burst_tokens":1000,"weight":0.5`, "warning 3 /workspaces/w/weight"},
		{`"hash":"` + testKeyHash + `"}`, `"hash":"` + testKeyHash + `"},"0123456789abcdee":{"workspace":"w","hash":"` + testKeyHash + `"}`,
			"warning 4 /keys/0123456789abcdef/hash"},
		{`"base_model":"m","v`, `"base_model":"x","v`, "error 5 /adapters/org~1a/base_model; warning 8 /backend_servers/e/base_model"},
		{`"base_model":"m","v`, `"base_model":5,"v`, "error 5 /adapters/org~1a/base_model; warning 8 /backend_servers/e/base_model"},
		{`"slots":4`, `"slots":4,"leaving":true`, "error 5 /adapters/org~1a/base_model"},
		{`"non_idempotent":true`, `"tokens":1001`, "error 6 /routes/lots/tokens"},
		{`"non_idempotent":true`, `"tokens":1000`, ""},
		{`"service":"rack"}}}`, `"service":"rack","leaving":true}}}`, "error 6 /routes/lots/service"},
		{`"lots":{"workspace":"w",`, `"lots":{"workspace":"x",`, "error 6 /routes/lots/workspace"},
		{`http://127.0.0.1:2`, `http://127.0.0.1:1`, "warning 9 /backend_servers/s/url"},
		{`"s":{`, `"t":{"kind":"service","url":"http://127.0.0.1:3","data_centre":"d","service":"x"},"s":{`,
			"warning 9 /backend_servers/t/service"},
		{`"default":"2"}`, `"default":"2",}`, "error 5 /adapters/org~1a/default"},
		{`"slots":4},`, `"slots":4,` + "\n" + `"slots":5},`, "error 9 /backend_servers/e/slots"},
	} {
		r, err := CheckFile([]byte(strings.Replace(validDocument, c.old, c.new, 1)), nil)
		var got []string
		for _, f := range r.Findings {
			got = append(got, fmt.Sprintf("%s %d %s", f.Severity, f.Line, f.Path))
		}
		if s := strings.Join(got, "; "); err != nil || s != c.want || r.Valid == strings.Contains(s, "error") {
			t.Errorf("%s: got %s (%t), %v, want %s", c.new, s, r.Valid, err, c.want)
		}
	}
}

// TestUnreachableObjects guards against an adapter or route without callers that isn't found, and against such findings
// for a document without keys, which leaves the keys in force as they are.
func TestUnreachableObjects(t *testing.T) {
	text := strings.NewReplacer(`"workspaces":{`, `"workspaces":{"v":{"tokens_per_second":1,"burst_tokens":9},`,
		`def":{"workspace":"w"`, `def":{"workspace":"v"`).Replace(validDocument)
	withKeys, err := ParseDocument([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, f := range ViewOf(0, withKeys).Findings() {
		paths = append(paths, f.Path)
	}
	if want := []string{"/adapters/org~1a", "/keys/0123456789abcdef/workspace", "/routes/lots"}; !reflect.DeepEqual(paths, want) {
		t.Errorf("got %v, want %v", paths, want)
	}
	withoutKeys := withKeys
	withoutKeys.Keys = nil
	data, _ := json.Marshal(withoutKeys)
	if r, _ := CheckFile(data, nil); len(r.Findings) != 1 || r.Findings[0].Path != "/workspaces/v" {
		t.Errorf("without keys: %v", r.Findings)
	}
	if r, _ := CheckFile(data, &withKeys); len(r.Findings) != 3 || len(r.Differences) != 0 {
		t.Errorf("with the keys in force: %v, %v", r.Findings, r.Differences)
	}
	delete(withoutKeys.Workspaces, "v")
	data, _ = json.Marshal(withoutKeys)
	if r, _ := CheckFile(data, &withKeys); r.Valid || r.Findings[0].Path != "/keys/0123456789abcdef/workspace" {
		t.Errorf("the removal of a workspace with keys in force is not an error: %v", r.Findings)
	}
}

// TestFindingLimit guards against a report with a line for each of 93,000 adapters.
func TestFindingLimit(t *testing.T) {
	d := foldWithAdapters(3000).View().Document()
	data, _ := json.Marshal(d)
	if r, _ := CheckFile(data, nil); len(r.Findings) != findings.Max+1 || r.Valid {
		t.Errorf("%d findings", len(r.Findings))
	}
}

// TestDifferences guards against a change that is missed or worded wrongly, a loss that isn't listed first and values
// that differ in form only.
func TestDifferences(t *testing.T) {
	before, err := ParseDocument([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"non_idempotent":true`, `"non_idempotent":true,"tokens":1,"deadline_seconds":30`, ""},
		{`"non_idempotent":true`, `"non_idempotent":true,"tokens":0,"deadline_seconds":0`, ""},
		{`"tokens_per_second":100`, `"tokens_per_second":50`, "reduce workspace w: tokens_per_second falls from 100 to 50"},
		{`"tokens_per_second":100`, `"tokens_per_second":200`, "change workspace w: tokens_per_second rises from 100 to 200"},
		{`"loads_per_second":4`, `"loads_per_second":3`, "reduce fleet fleet: weight_store.loads_per_second falls from 4 to 3"},
		{`"non_idempotent":true`, `"tokens":3`, "reduce route lots: non_idempotent is unset, it was true; tokens rises from 1 to 3"},
		{testKeyHash, strings.Repeat("0", 64), "reduce key 0123456789abcdef: the secret changes: the old one is refused"},
		{`["1","2"]`, `["2","3"]`, `reduce adapter org/a: versions lose "1"; versions gain "3"`},
		{`"slots":4`, `"slots":4,"leaving":true`, "reduce backend_server e: leaving is set to true"},
		{`"default":"2"`, `"default":"1","open":true`, `change adapter org/a: default changes from "2" to "1"; open is set to true`},
		{`"s":{`, `"t":{"kind":"service","url":"http://127.0.0.1:3","data_centre":"d","service":"rack"},"s":{`,
			"add backend_server t: is added"},
		{`"lots":{"workspace":"w",`, `"lost":{"workspace":"w",`, `remove route lots: is removed: calls to the service "rack" by it ` +
			`are refused|add route lost: is added to workspace "w"`},
	} {
		r, err := CheckFile([]byte(strings.Replace(validDocument, c.old, c.new, 1)), &before)
		var got []string
		for _, d := range r.Differences {
			got = append(got, fmt.Sprintf("%s %s %s: %s", d.Action, d.Kind, d.ID, d.Words))
		}
		if s := strings.Join(got, "|"); err != nil || !r.Compared || s != c.want {
			t.Errorf("%s: got %s, %v, want %s", c.new, s, err, c.want)
		}
	}
	for _, a := range []Adapter{{Workspace: "w"}, {Workspace: "v", Open: true}} {
		old, changed := map[string]Adapter{"a": {Workspace: "w", Open: true}}, map[string]Adapter{"a": a}
		if list, err := Differences(Document{Adapters: old}, Document{Adapters: changed}); err != nil || len(list) != 1 || list[0].Action != findings.ActionReduce {
			t.Errorf("%v: got %v, %v, want a reduction", a, list, err)
		}
	}
	// A document without any objects of a kind has null there.
	if list, err := Differences(Document{}, before); err != nil || len(list) != 7 || list[0].Action != findings.ActionChange {
		t.Errorf("from an empty document: got %v, %v", list, err)
	}
	list, err := Differences(before, Document{Workspaces: map[string]Workspace{"u": {}}, Keys: map[string]Key{"0123456789abcdef": {Workspace: "w"}}})
	var order []string
	for _, d := range list {
		order = append(order, string(d.Action)+" "+d.Kind)
	}
	want := []string{"reduce key", "remove route", "remove workspace", "remove adapter", "remove backend_server", "remove backend_server",
		"reduce fleet", "add workspace"}
	if err != nil || !reflect.DeepEqual(order, want) {
		t.Errorf("got %v, %v, want %v", order, err, want)
	}
}

// TestWarningsOfOperations guards against warnings at an instance that the change didn't cause, and against missing ones.
func TestWarningsOfOperations(t *testing.T) {
	d, _ := ParseDocument([]byte(strings.Replace(validDocument, "127.0.0.1:2", "127.0.0.1:1", 1)))
	v := ViewOf(1, d)
	put, _ := NewPut(KindRoute, "lots", Route{Workspace: "w", Service: "rack", Tokens: 5000})
	if w := v.WarningsOf([]Operation{put}); len(w) != 1 || w[0].Path != "/routes/lots/tokens" {
		t.Errorf("got %v", w)
	}
	if w := v.WarningsOf([]Operation{NewDelete(KindRoute, "x")}); w != nil {
		t.Errorf("a change without effect: got %v", w)
	}
	leaving, _ := NewPut(KindBackendServer, "e", BackendServer{Kind: KindEngine, BaseModel: "kelp-base-8b", Slots: 1, Leaving: true})
	many := foldWithAdapters(3000).View()
	if w := many.WarningsOf([]Operation{leaving}); len(w) != findings.Max+1 || w[findings.Max].Message != "and 2000 more" {
		t.Errorf("3000 adapters: got %d warnings", len(w))
	}
}
