package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

// operatorAt returns a function that runs the tool against a daemon in memory.
func operatorAt(t *testing.T) (*admintest.Daemon, func(stdin string, args ...string) (int, string, string)) {
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

// Guards against exit codes that a script cannot rely on.
func TestExitCodes(t *testing.T) {
	d, ctl := operatorAt(t)
	for _, c := range []struct {
		code  int
		stdin string
		args  string
	}{
		{exitUsage, "", "publish"}, {exitUsage, "", "nonsense"}, {exitUsage, "", "get extra"}, {exitDone, "", "--help"},
		{exitUsage, "", "--server http://192.0.2.1 get"}, {exitDone, document, "validate -f -"},
		{exitFailed, `{"adapters":{"a":{}}}`, "validate --json -f -"}, {exitFailed, "", "validate -f /nonexistent"},
		{exitDone, document, "publish -f -"}, {exitDone, document, "publish -f -"}, {exitRefused, `{}`, "publish --base 0 -f -"},
		{exitDone, "", "get --json"}, {exitDone, document, "diff --json -f -"}, {exitDone, "", "status --json"}, {exitDone, "", "status"},
		{exitDone, "", "adapters get a --json"}, {exitFailed, "", "adapters get b"}, {exitFailed, "", "adapters delete b"},
		{exitFailed, "", "workspaces delete w"}, {exitRefused, "", "adapters delete a --base 0"}, {exitDone, "", "adapters delete a"},
		{exitDone, `{"kind":"service","url":"http://127.0.0.1:1","data_centre":"d","service":"s"}`, "servers put s -f -"},
		{exitDone, `{"workspace":"w","service":"s"}`, "routes put r -f -"}, {exitFailed, `{"workspace":"w"}`, "routes put r -f -"},
		{exitUsage, "", "keys create"}, {exitFailed, "", "keys create --workspace x"}, {exitFailed, "", "keys withdraw 0123456789abcdef"},
	} {
		if code, out, errs := ctl(c.stdin, strings.Fields(c.args)...); code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s%s", c.args, code, c.code, out, errs)
		}
	}
	if _, _, errs := ctl(`{}`, "publish", "--base", "0", "--author", "bob", "-f", "-"); !strings.Contains(errs, `"bob"`) || !strings.Contains(errs, `"op`) {
		t.Errorf("the refusal does not name both sides: %s", errs)
	}
	if got := d.View().Version(); got != 4 {
		t.Errorf("version %d, want 4", got)
	}
}

// Guards against a key that does not work, a secret printed where it should not be, and an old document
// that puts a withdrawn key in force again or withdraws a new one.
func TestKeysOverTheirLife(t *testing.T) {
	d, ctl := operatorAt(t)
	ctl(document, "publish", "-f", "-")
	d.BeforeNextPublish(func() {
		o, _ := config.NewPut(config.KindWorkspace, "v", config.Workspace{TokensPerSecond: 1, BurstTokens: 1})
		if a, err := d.Publish(context.Background(), uuid.NewString(), config.Change{Base: 1, Operations: []config.Operation{o}}); err != nil || !a.Accepted {
			t.Error("the racing change was not accepted")
		}
	})
	code, out, errs := ctl("", "keys", "create", "--workspace", "w", "--json")
	var k madeKey
	if err := json.Unmarshal([]byte(out), &k); err != nil || code != exitDone {
		t.Fatalf("%d %s %s", code, out, errs)
	}
	if _, key, ok := d.View().Authenticate(k.Secret); !ok || key.Workspace != "w" {
		t.Fatal("the new key does not work")
	}
	if _, list, _ := ctl("", "keys", "list"); strings.Contains(list, k.Secret) || !strings.Contains(list, k.ID) {
		t.Errorf("listed: %s", list)
	}
	if ctl(document, "publish", "-f", "-"); d.View().Document().Keys[k.ID].Hash != k.Hash {
		t.Error("publishing an older document withdrew the key")
	}
	_, old, _ := ctl("", "get")
	if code, _, errs := ctl("", "keys", "withdraw", k.ID); code != exitDone {
		t.Fatal(errs)
	}
	if ctl(old, "publish", "-f", "-"); len(d.View().Document().Keys) != 0 {
		t.Error("publishing an older document put a withdrawn key in force")
	}
	if code, _, errs := ctl(old, "publish", "--keys", "-f", "-"); code != exitDone || len(d.View().Document().Keys) != 1 {
		t.Errorf("--keys: %d %s", code, errs)
	}
}

// Guards against a published document that differs from the one in force, and a difference left over.
func TestPublishRoundTrip(t *testing.T) {
	_, ctl := operatorAt(t)
	ctl(document, "publish", "-f", "-")
	_, out, _ := ctl("", "get")
	if code, left, errs := ctl(out, "diff", "--keys", "-f", "-"); code != exitDone || left != "" {
		t.Errorf("%d: %s%s", code, left, errs)
	}
	if code, report, _ := ctl(strings.Replace(document, `"m"`, `"n"`, 1), "publish", "--json", "-f", "-"); code != 0 || !strings.Contains(report, fmt.Sprintf("%q: %d", "version", 2)) {
		t.Errorf("%d: %s", code, report)
	}
}
