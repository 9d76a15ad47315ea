package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
	"github.com/turmericworks/turmericworks/internal/transport/admin/admintest"
)

func serve(t *testing.T) (*admintest.Daemon, http.Handler) {
	t.Helper()
	d := admintest.New()
	h, err := admin.NewHandler(d, []admin.Token{
		{Name: "reader", Hash: keys.Hash("r"), Roles: []admin.Role{admin.RoleRead}},
		{Name: "keeper", Hash: keys.Hash("k"), Roles: []admin.Role{admin.RoleKeys}},
		{Name: "publisher", Hash: keys.Hash("p"), Roles: []admin.Role{admin.RolePublish}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return d, h
}

func send(h http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const putWorkspace = `{"op":"put","kind":"workspace","id":"w","value":{"tokens_per_second":1,"burst_tokens":1}}`

func change(base string, ops ...string) string {
	return `{"id":"` + uuid.NewString() + `","base":` + base + `,"author":"ann","operations":[` + strings.Join(ops, ",") + `]}`
}

// TestRights guards against a token that may do more than its roles permit, and against access without a valid
// token.
func TestRights(t *testing.T) {
	_, h := serve(t)
	deleteKey := `{"op":"delete","kind":"key","id":"0123456789abcdef"}`
	for _, c := range []struct {
		token, body string
		status      int
	}{
		{"", change("0", putWorkspace), 401}, {"x", change("0", putWorkspace), 401},
		{"r", change("0", putWorkspace), 403}, {"k", change("0", putWorkspace), 403},
		{"r", change("0", deleteKey), 403}, {"p", change("0", deleteKey), 403}, {"p", change("0", putWorkspace, deleteKey), 403},
		{"p", change("0", putWorkspace), 200}, {"k", change("0", deleteKey), 200},
	} {
		if w := send(h, "POST", "/admin/v1/changes", c.token, c.body); w.Code != c.status {
			t.Errorf("token %q, %s: %d, want %d: %s", c.token, c.body, w.Code, c.status, w.Body)
		}
	}
	for _, path := range []string{"/admin/v1/config", "/admin/v1/status"} {
		if w := send(h, "GET", path, "r", ""); w.Code != 200 {
			t.Errorf("reading %s: status %d, want 200", path, w.Code)
		}
		if w := send(h, "GET", path, "", ""); w.Code != 401 {
			t.Errorf("reading %s without a token: status %d, want 401", path, w.Code)
		}
	}
}

// TestRefusalsAndProblems guards against a refusal that does not identify both conflicting changes, and against an
// invalid change that reaches the log.
func TestRefusalsAndProblems(t *testing.T) {
	d, h := serve(t)
	if w := send(h, "POST", "/admin/v1/changes", "p", change("0", putWorkspace)); w.Code != 200 {
		t.Fatal(w.Body)
	}
	w := send(h, "POST", "/admin/v1/changes", "p", change("0", putWorkspace))
	var a admin.ChangeResponse
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil || w.Code != 409 || a.Refusal == nil ||
		a.Refusal.Current != 1 || a.Refusal.Theirs.Author != "publisher/ann" || a.Refusal.Theirs.ID == "" {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	for body, path := range map[string]string{
		change("1", `{"op":"delete","kind":"workspace"}`):                                                        "/operations/0/id",
		change("1", `{"op":"put","kind":"route","id":"r","value":{"workspace":"w","service":"s"}}`):              "/operations/0/value/service",
		change("1", `{"op":"put","kind":"workspace","id":"v","value":{"tokens_per_second":0,"burst_tokens":1}}`): "/operations/0/value/tokens_per_second",
		strings.Replace(change("1", putWorkspace), `"id":"`, `"id":"not-`, 1):                                    "/id",
	} {
		w := send(h, "POST", "/admin/v1/changes", "p", body)
		var e admin.ErrorResponse
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || w.Code != 400 || len(e.Error.Problems) != 1 || e.Error.Problems[0].Path != path {
			t.Errorf("%s: %d %s", body, w.Code, w.Body)
		}
	}
	if w := send(h, "POST", "/admin/v1/changes", "p", change("9", putWorkspace)); w.Code != 503 {
		t.Errorf("a base version that the instance has not read yet: status %d, want 503", w.Code)
	}
	if w := send(h, "POST", "/admin/v1/changes", "p", `{"force":true}`); w.Code != 400 {
		t.Errorf("an unknown field: status %d, want 400", w.Code)
	}
	if d.Appends() != 1 {
		t.Errorf("%d records in the log, want 1", d.Appends())
	}
}

// TestLostResponseIsResolvedByID guards against a change that takes effect twice or is reported as refused when
// it is sent again after a lost response.
func TestLostResponseIsResolvedByID(t *testing.T) {
	d, h := serve(t)
	server := httptest.NewServer(h)
	defer server.Close()
	d.LoseResponses(1)
	op, _ := config.NewPut(config.KindWorkspace, "w", config.Workspace{TokensPerSecond: 1, BurstTokens: 1})
	c := admin.Client{URL: server.URL, Token: "p", HTTP: server.Client(), RetryWait: 1}
	a, err := c.Change(context.Background(), admin.ChangeRequest{ID: uuid.NewString(), Operations: []config.Operation{op}})
	if err != nil || !a.Accepted || a.Version != 1 || d.View().Version() != 1 {
		t.Errorf("%+v, %v, version %d", a, err, d.View().Version())
	}
	c.Token = "unknown"
	if _, err := c.Config(context.Background()); !trace.IsAccessDenied(err) {
		t.Errorf("unknown token: got error %v, want access denied", err)
	}
}

// TestCheckTokens guards against accepting settings in which a token has no valid hash, an unknown role or
// another token's name.
func TestCheckTokens(t *testing.T) {
	valid := admin.Token{Name: "a", Hash: keys.Hash("s"), Roles: []admin.Role{admin.RoleRead}}
	for name, tokens := range map[string][]admin.Token{
		"no hash": {{Name: "a", Roles: valid.Roles}}, "no roles": {{Name: "a", Hash: valid.Hash}},
		"unknown role": {{Name: "a", Hash: valid.Hash, Roles: []admin.Role{"root"}}}, "same name": {valid, valid},
		"plain secret": {{Name: "a", Hash: "secret", Roles: valid.Roles}}, "slash": {{Name: "a/b", Hash: valid.Hash, Roles: valid.Roles}},
	} {
		if admin.CheckTokens(tokens) == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if err := admin.CheckTokens([]admin.Token{valid}); err != nil {
		t.Error(err)
	}
}

// FuzzChange guards against request bodies that crash the server or get status 500.
func FuzzChange(f *testing.F) {
	for _, seed := range []string{change("0", putWorkspace), `{}`, `[`, `{"id":"x","operations":null}`, change("-1", putWorkspace)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		d := admintest.New()
		h, _ := admin.NewHandler(d, []admin.Token{{Name: "a", Hash: keys.Hash("p"), Roles: []admin.Role{admin.RolePublish, admin.RoleKeys}}})
		r := httptest.NewRequest("POST", "/admin/v1/changes", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer p")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == 200 && d.View().Version() != 1 || w.Code == 500 {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}

// TestWarnings guards against an accepted change whose warnings are lost, and against warnings that refuse a change.
func TestWarnings(t *testing.T) {
	_, h := serve(t)
	adapter := `{"op":"put","kind":"adapter","id":"a","value":{"workspace":"w","base_model":"m","versions":["1"],"default":"1"}}`
	w := send(h, "POST", "/admin/v1/changes", "p", change("0", putWorkspace, adapter))
	var response admin.ChangeResponse
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || !response.Accepted || len(response.Warnings) != 2 ||
		response.Warnings[0].Path != "/adapters/a/base_model" || response.Warnings[1].Path != "/workspaces/w/burst_tokens" {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}
