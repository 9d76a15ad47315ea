package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/uuid"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
	"github.com/turmericworks/turmericworks/internal/transport/admin/admintest"
)

const document = `{"workspaces":{"w":{"tokens_per_second":1,"burst_tokens":1}},
 "adapters":{"a":{"workspace":"w","base_model":"m","versions":["1"],"default":"1"}}}`

// gatewayConfig is a value of the record that turmeric-gateway reads.
const gatewayConfig = `{"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/","service":"app","type":"idempotent"}],
 "services":[{"name":"app"}],"tenants":[{"name":"w","apiKeys":["k"]}]}`

// newCLI returns an in-memory daemon and a function that runs turmericctl against it and returns the exit code, standard
// output and standard error.
func newCLI(t *testing.T) (*admintest.Daemon, func(stdin string, args ...string) (int, string, string)) {
	t.Helper()
	d := admintest.New()
	h, err := admin.NewHandler(d, []admin.Token{{Name: "op", Hash: keys.Hash("secret"), Roles: []admin.Role{admin.RoleKeys, admin.RolePublish}}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return d, func(stdin string, args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		args = append([]string{"--server", server.URL, "--token-file", token}, args...)
		code := run(context.Background(), args, strings.NewReader(stdin), &out, &errs)
		return code, out.String(), errs.String()
	}
}

// Guards against wrong exit codes, on which scripts rely.
func TestExitCodes(t *testing.T) {
	d, ctl := newCLI(t)
	for _, c := range []struct {
		code  int
		stdin string
		args  string
	}{
		{exitUsage, "", "publish"}, {exitUsage, "", "nonsense"}, {exitUsage, "", "get extra"}, {exitOK, "", "--help"},
		{exitUsage, "", "--server http://192.0.2.1 get"}, {exitOK, document, "validate -f -"},
		{exitFailed, `{"adapters":{"a":{}}}`, "validate --json -f -"}, {exitFailed, "", "validate -f /nonexistent"},
		{exitOK, document, "publish -f -"}, {exitOK, document, "publish -f -"}, {exitConflict, `{}`, "publish --base 0 -f -"},
		{exitOK, "", "get --json"}, {exitOK, document, "diff --json -f -"}, {exitOK, "", "status --json"}, {exitOK, "", "status"},
		{exitOK, "", "adapters get a --json"}, {exitFailed, "", "adapters get b"}, {exitFailed, "", "adapters delete b"},
		{exitFailed, "", "workspaces delete w"}, {exitConflict, "", "adapters delete a --base 0"}, {exitOK, "", "adapters delete a"},
		{exitOK, `{"kind":"service","url":"http://127.0.0.1:1","data_centre":"d","service":"s"}`, "servers put s -f -"},
		{exitOK, `{"workspace":"w","service":"s"}`, "routes put r -f -"}, {exitFailed, `{"workspace":"w"}`, "routes put r -f -"},
		{exitUsage, "", "keys create"}, {exitFailed, "", "keys create --workspace x"}, {exitFailed, "", "keys withdraw 0123456789abcdef"},
	} {
		if code, out, errs := ctl(c.stdin, strings.Fields(c.args)...); code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s%s", c.args, code, c.code, out, errs)
		}
	}
	if _, _, errs := ctl(`{}`, "publish", "--base", "0", "--author", "bob", "-f", "-"); !strings.Contains(errs, `"bob"`) || !strings.Contains(errs, `"op`) {
		t.Errorf("the refusal does not name the authors of both changes: %s", errs)
	}
	if got := d.View().Version(); got != 4 {
		t.Errorf("version %d, want 4", got)
	}
}

// Guards against a created key that does not authenticate, a list of keys that shows a secret, and an old document that,
// published without --keys, puts a withdrawn key in force again or withdraws a newer one.
func TestKeyLifecycle(t *testing.T) {
	d, ctl := newCLI(t)
	ctl(document, "publish", "-f", "-")
	d.BeforeNextPublish(func() {
		o, _ := config.NewPut(config.KindWorkspace, "v", config.Workspace{TokensPerSecond: 1, BurstTokens: 1})
		if a, err := d.Publish(context.Background(), uuid.NewString(), config.Change{Base: 1, Operations: []config.Operation{o}}); err != nil || !a.Accepted {
			t.Error("the concurrent change was not accepted")
		}
	})
	code, out, errs := ctl("", "keys", "create", "--workspace", "w", "--json")
	var k keyOutput
	if err := json.Unmarshal([]byte(out), &k); err != nil || code != exitOK {
		t.Fatalf("keys create: exit code %d: %s%s", code, out, errs)
	}
	if _, key, ok := d.View().Authenticate(k.Secret); !ok || key.Workspace != "w" {
		t.Fatal("the new key does not authenticate")
	}
	if _, list, _ := ctl("", "keys", "list"); strings.Contains(list, k.Secret) || !strings.Contains(list, k.ID) {
		t.Errorf("keys list shows the secret or lacks the id: %s", list)
	}
	if ctl(document, "publish", "-f", "-"); d.View().Document().Keys[k.ID].Hash != k.Hash {
		t.Error("publishing an older document withdrew the key")
	}
	_, old, _ := ctl("", "get")
	if code, _, errs := ctl("", "keys", "withdraw", k.ID); code != exitOK {
		t.Fatal(errs)
	}
	if ctl(old, "publish", "-f", "-"); len(d.View().Document().Keys) != 0 {
		t.Error("publishing an older document put a withdrawn key in force")
	}
	if code, _, errs := ctl(old, "publish", "--keys", "-f", "-"); code != exitOK || len(d.View().Document().Keys) != 1 {
		t.Errorf("publish --keys: exit code %d: %s", code, errs)
	}
}

// Guards against a document that differs after it was published and read back, and a publication that reports the wrong
// version.
func TestPublishRoundTrip(t *testing.T) {
	_, ctl := newCLI(t)
	ctl(document, "publish", "-f", "-")
	_, out, _ := ctl("", "get")
	if code, left, errs := ctl(out, "diff", "--keys", "-f", "-"); code != exitOK || left != "" {
		t.Errorf("diff after publish: exit code %d: %s%s", code, left, errs)
	}
	if code, report, _ := ctl(strings.Replace(document, `"m"`, `"n"`, 1), "publish", "--json", "-f", "-"); code != 0 || !strings.Contains(report, fmt.Sprintf("%q: %d", "version", 2)) {
		t.Errorf("publish --json: exit code %d: %s", code, report)
	}
}

// Guards against a check that needs an instance, a wrong exit code, a report that lacks the line and path of a fault, and
// warnings of an instance that publish doesn't print. The same of the gateway's configuration, which has other rules.
func TestCheck(t *testing.T) {
	_, ctl := newCLI(t)
	_, _, warnings := ctl(document, "publish", "-f", "-")
	if !strings.Contains(warnings, "warning: /adapters/a/base_model: ") {
		t.Errorf("publish prints no warning: %s", warnings)
	}
	const good = `{"workspaces":{"w":{"tokens_per_second":1,"burst_tokens":600}},
 "keys":{"0123456789abcdef":{"workspace":"w","hash":"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}},
 "adapters":{"a":{"workspace":"w","base_model":"m","versions":["1"],"default":"1"}},
 "fleet":{"weight_store":{"loads_per_second":1,"full_speed":1,"max_in_flight":1}},
 "backend_servers":{"e":{"kind":"engine","url":"http://127.0.0.1:1","data_centre":"d","base_model":"m","slots":1}}}`
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	inForce, printed, bad := write("old", good), write("get", `{"version":1,`+"\n"+`"document":`+good+`}`), write("bad", "{\n}}")
	gateway := write("gateway", gatewayConfig)
	smaller := strings.Replace(good, `"burst_tokens":600`, `"burst_tokens":550`, 1)
	for _, c := range []struct {
		code       int
		stdin      string
		args       string
		out, error string
	}{
		{exitOK, good, "check -f -", "valid\n", ""},
		{exitOK, good, "check -f - --in-force " + inForce, "no difference from", ""},
		{exitOK, smaller, "check -f - --in-force " + inForce, "reduce  workspace w: burst_tokens falls from 600 to 550\n", ""},
		{exitOK, smaller, "check --json -f - --in-force " + printed, `"action": "reduce"`, ""},
		{exitFailed, document, "check -f -", "-:2: error: /adapters/a/base_model: no engine", "has errors"},
		{exitFailed, document, "check --json -f -", `"line": 2,`, "has errors"},
		{exitFailed, "{\n]", "check -f - --in-force " + inForce, "-:2: error: /: not valid JSON", "has errors"},
		{exitFailed, good, "check -f - --in-force " + bad, "", bad + ":2: error: /: not valid JSON"},
		{exitFailed, "", "check -f /nonexistent", "", "nonexistent"},
		{exitOK, gatewayConfig, "check --gateway -f -", "valid\n", ""},
		{exitOK, gatewayConfig, "check --gateway -f - --in-force " + gateway, "no difference from", ""},
		{exitOK, strings.NewReplacer(`"k"`, `"l"`, `:1,`, `:2,`).Replace(gatewayConfig), "check --gateway -f - --in-force " + gateway,
			"remove  key w/1: is removed: requests of workspace \"w\" with it are refused\nadd     key w/1: is added\n", ""},
		{exitFailed, strings.Replace(gatewayConfig, `"service":"app"`, `"service":"x"`, 1), "check --gateway --json -f -", `"path": "/routes/0/service"`, "has errors"},
		{exitFailed, gatewayConfig, "check --gateway -f - --in-force " + bad, "", "the configuration in force can't be used"},
		{exitFailed, good, "check --gateway -f -", "-:1: error: /version: is missing", "has errors"},
		{exitUsage, good, "check -f - --in-force -", "", "standard input"}, {exitUsage, "", "check", "", "required"},
	} {
		code, out, errs := ctl(c.stdin, append([]string{"--server", "http://127.0.0.1:1"}, strings.Fields(c.args)...)...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.error) {
			t.Errorf("%s: exit code %d, want %d: %s%s", c.args, code, c.code, out, errs)
		}
	}
}

// Guards against instances of the gateway whose metrics aren't merged, a wrong exit code when some aren't read, and control
// characters of another program in a table.
func TestGateways(t *testing.T) {
	_, ctl := newCLI(t)
	serve := func(text string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/metrics" {
				t.Errorf("read %s", r.URL)
			}
			_, _ = fmt.Fprint(w, text)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	const era = "# TYPE turmeric_log_service_era gauge\nturmeric_log_service_era 1\n"
	a := serve(era + "# TYPE turmeric_evacuated_data_centres gauge\nturmeric_evacuated_data_centres{data_centre=\"z\x1b\",era=\"1\",offset=\"7\"} 1\n" +
		"# TYPE turmeric_evacuation_start_seconds gauge\nturmeric_evacuation_start_seconds{data_centre=\"z\x1b\"} 1000\n")
	b := serve(era + "# TYPE turmeric_cold_worker_remaining_seconds gauge\nturmeric_cold_worker_remaining_seconds{worker=\"w@1\"} +Inf\n")
	for _, c := range []struct {
		code       int
		args       string
		out, error string
	}{
		{exitOK, "gateways " + a + " http://" + b, `"z\x1b"                1970-01-01T00:16:40Z  1    7       1 of 2     0      0        http://` + b, ""},
		{exitOK, "gateways " + a + " " + b, "w@1          unknown    unknown     0     1 of 2\n", ""},
		{exitOK, "gateways --json " + a + " " + b, `"remaining_seconds": null,`, ""},
		{exitOK, "gateways " + serve(era), "no data centre is evacuated\nno worker is cold\n", ""},
		{exitFailed, "gateways 127.0.0.1:1 " + a, "1 of 1", "1 of 2 instances were not read"},
		{exitFailed, "gateways " + serve(""), "no worker is cold", "exports no metrics of turmeric-gateway"},
		{exitFailed, "gateways " + serve("<html>"), "no worker is cold", "reading the metrics"},
		{exitUsage, "gateways", "", "ADDRESS"}, {exitUsage, "gateways " + a + " http://" + a, "", "named twice"}, {exitUsage, "gateways ftp://x", "", "neither HOST:PORT nor a URL"},
	} {
		code, out, errs := ctl("", strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.error) {
			t.Errorf("%s: exit code %d, want %d:\n%s%s", c.args, code, c.code, out, errs)
		}
	}
}
