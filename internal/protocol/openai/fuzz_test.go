package openai

import (
	"strings"
	"testing"
)

// FuzzParse guards against a body that makes Parse panic, and against a reservation that is smaller than the
// output limit because of field names in another case, several prompts or an overflow.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a","prompt":"x"}`, `{"model":"a@1","messages":[{"role":"user","content":"x"}],"n":2,"stream":true}`,
		`{"model":"a","MODEL":"b","prompt":["x","y"],"max_tokens":9,"MAX_TOKENS":1}`, `{"model":"a","prompt":[1,2],"best_of":3}`,
		`null`, `[]`, `{"model":null,"prompt":null}`, `{"model":"a","prompt":"x","max_tokens":1e99}`, `{"a":` + strings.Repeat("[", 70),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Parse(body)
		changed, setErr := SetModel(body, "other@2")
		if err != nil {
			return
		}
		if setErr != nil {
			t.Fatalf("Parse accepts a body that SetModel rejects: %v", setErr)
		}
		again, err := Parse(changed)
		if err != nil || again.Model != "other@2" || again.Stream != r.Stream {
			t.Fatalf("the body with another model parses differently: %+v, %v", again, err)
		}
		if n := r.ReservedTokens(); n < max(r.MaxTokens, r.MaxCompletionTokens, 1) {
			t.Fatalf("reserved only %d tokens for %s", n, body)
		}
	})
}

// TestReservedTokens guards against a reservation of fewer tokens than the engine may generate.
func TestReservedTokens(t *testing.T) {
	for body, minimum := range map[string]int{
		`{"model":"a","prompt":"x","max_tokens":1000,"MAX_TOKENS":1}`:                1000,
		`{"model":"a","prompt":["x","y","z"],"max_tokens":1000}`:                     3000,
		`{"model":"a","prompt":"x","max_tokens":1000,"n":2,"best_of":4}`:             4000,
		`{"model":"a","prompt":"x","max_tokens":1000,"max_completion_tokens":1}`:     1000,
		`{"model":"a","prompt":[1,2,3],"max_tokens":1000,"max_completion_tokens":0}`: 1000,
	} {
		r, err := Parse([]byte(body))
		if err != nil || r.ReservedTokens() < minimum || r.ReservedTokens() > minimum+100 {
			t.Errorf("%s reserves %d tokens, want about %d (%v)", body, r.ReservedTokens(), minimum, err)
		}
	}
}
