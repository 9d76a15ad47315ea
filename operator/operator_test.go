package operator

import (
	"strings"
	"testing"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Guards against an object that silently replaces another one, and against printing an invalid document.
func TestFaultsAreReported(t *testing.T) {
	c := New()
	w := c.Workspace("w", 1, 10)
	w.Adapter("a", "m", "1")
	w.Adapter("a", "m", "2")
	w.Route("r", "nowhere")
	var out strings.Builder
	err := c.Print(&out)
	if p := config.ProblemsOf(err); len(p) != 2 || p[0].Path != "/adapters/a" || p[1].Path != "/routes/r/service" || out.Len() > 0 {
		t.Errorf("got %v", err)
	}
}

// Guards against a secret that ends up in the printed document or does not match the stored key.
func TestGenerateKey(t *testing.T) {
	c := New()
	secret, err := c.Workspace("w", 1, 10).GenerateKey()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := c.Print(&out); err != nil || strings.Contains(out.String(), secret) {
		t.Fatalf("the secret was printed, or %v", err)
	}
	if _, _, ok := config.ViewOf(1, c.document()).Authenticate(secret); !ok {
		t.Error("the secret does not match")
	}
}
