package operator

import (
	"strings"
	"testing"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Guards against an object that silently replaces another with the same id, and against printing an invalid document.
func TestProblemsAreReported(t *testing.T) {
	c := New()
	w := c.Workspace("w", 1, 10)
	w.Adapter("a", "m", "1")
	w.Adapter("a", "m", "2")
	w.Route("r", "nowhere")
	var out strings.Builder
	err := c.Print(&out)
	if p := config.ProblemsOf(err); len(p) != 2 || p[0].Path != "/adapters/a" || p[1].Path != "/routes/r/service" || out.Len() > 0 {
		t.Errorf("Print returned %v", err)
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
		t.Fatalf("Print failed or printed the secret: %v", err)
	}
	if _, _, ok := config.ViewOf(1, c.document()).Authenticate(secret); !ok {
		t.Error("the secret does not match the stored key")
	}
}
