// Package openai defines the messages of the OpenAI HTTP interface that the system itself reads from callers
// or writes to them. It passes all other fields of a body through unchanged.
package openai

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// MaxBodyBytes bounds the size of a request body. The longest prompts in use are inspection records of a few
// hundred kilobytes.
const MaxBodyBytes = 4 << 20

// MaxDepth bounds the nesting depth of a request body.
const MaxDepth = 64

// defaultMaxTokens is the number of output tokens reserved for a request that sets no limit.
const defaultMaxTokens = 512

// bytesPerToken is used to estimate the prompt tokens. The usage that the engine reports corrects the estimate.
const bytesPerToken = 4

const (
	// maxOutputTokens and maxChoices bound the factors of the reserved tokens, so that their product cannot
	// overflow.
	maxOutputTokens = 1 << 20
	maxChoices      = 128
	// partIDBytes is the number of bytes of a message's hash that identify it.
	partIDBytes = 8
)

// Request holds the fields of a completion request that determine admission and routing.
type Request struct {
	Model               string
	Stream              bool
	MaxTokens           int
	MaxCompletionTokens int
	// N and BestOf are the numbers of completions to return and to generate for each prompt.
	N        int
	BestOf   int
	Messages json.RawMessage
	// Prompt is a string, an array of tokens, or an array of either of these.
	Prompt json.RawMessage
}

// Parse decodes and checks a body of at most MaxBodyBytes. It rejects trailing data and nesting deeper than
// MaxDepth.
func Parse(body []byte) (Request, error) {
	var r Request
	if !json.Valid(body) {
		return r, trace.BadParameter("the body is not valid JSON")
	}
	if nestingDepth(body) > MaxDepth {
		return r, trace.BadParameter("the body is nested deeper than %d levels", MaxDepth)
	}
	if err := r.decode(body); err != nil {
		return r, err
	}
	return r, r.check()
}

// decode reads the fields by their exact names. Decoding into a struct ignores case and would accept MAX_TOKENS
// as max_tokens, so that a request could reserve fewer tokens than the engine generates.
func (r *Request) decode(body []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return trace.BadParameter("the body is not a JSON object")
	}
	for _, f := range []struct {
		name string
		dst  any
	}{
		{"model", &r.Model}, {"stream", &r.Stream}, {"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxCompletionTokens}, {"n", &r.N}, {"best_of", &r.BestOf},
		{"messages", &r.Messages}, {"prompt", &r.Prompt},
	} {
		raw := fields[f.name]
		if raw == nil || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.dst); err != nil {
			return trace.BadParameter("the field %s has the wrong type", f.name)
		}
	}
	return nil
}

func (r *Request) check() error {
	switch {
	case r.Model == "":
		return trace.BadParameter("the field model is missing")
	case len(r.Messages) == 0 && len(r.Prompt) == 0:
		return trace.BadParameter("neither messages nor prompt is present")
	case len(r.Messages) > 0 && r.Messages[0] != '[':
		return trace.BadParameter("the field messages has the wrong type")
	case len(r.Prompt) > 0 && r.Prompt[0] != '[' && r.Prompt[0] != '"':
		return trace.BadParameter("the field prompt has the wrong type")
	case min(r.MaxTokens, r.MaxCompletionTokens, r.N, r.BestOf) < 0:
		return trace.BadParameter("max_tokens, max_completion_tokens, n and best_of must not be negative")
	case max(r.MaxTokens, r.MaxCompletionTokens) > maxOutputTokens:
		return trace.BadParameter("max_tokens and max_completion_tokens must not exceed %d", maxOutputTokens)
	case max(r.N, r.BestOf) > maxChoices:
		return trace.BadParameter("n and best_of must not exceed %d", maxChoices)
	}
	return nil
}

// PromptParts returns identifiers of the messages that the prompt may share with others: all but the last. Equal messages
// have equal identifiers.
func (r Request) PromptParts() []string {
	var list []json.RawMessage
	if err := json.Unmarshal(r.Messages, &list); err != nil || len(list) < 2 {
		return nil
	}
	var parts []string
	for _, m := range list[:len(list)-1] {
		hash := sha256.Sum256(m)
		parts = append(parts, hex.EncodeToString(hash[:partIDBytes]))
	}
	return parts
}

// promptCount returns the number of prompts. An array of numbers is one prompt that consists of tokens.
func (r Request) promptCount() int {
	var list []json.RawMessage
	if err := json.Unmarshal(r.Prompt, &list); err != nil || len(list) == 0 {
		return 1
	}
	if first := list[0][0]; first == '"' || first == '[' {
		return len(list)
	}
	return 1
}

// nestingDepth returns the nesting depth of valid JSON.
func nestingDepth(body []byte) int {
	deepest, level := 0, 0
	inString, escaped := false, false
	for _, c := range body {
		switch {
		case escaped:
			escaped = false
		case inString && c == '\\':
			escaped = true
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// ReservedTokens returns the number of tokens to reserve: the estimated prompt tokens and the maximum output
// tokens of all completions.
func (r Request) ReservedTokens() int {
	output := max(r.MaxCompletionTokens, r.MaxTokens)
	if output == 0 {
		output = defaultMaxTokens
	}
	completions := max(r.N, r.BestOf, 1) * r.promptCount()
	return (len(r.Messages)+len(r.Prompt))/bytesPerToken + 1 + output*completions
}

// SetModel returns the body with the field model replaced.
func SetModel(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, trace.Wrap(err)
	}
	if fields == nil {
		return nil, trace.BadParameter("the body is not a JSON object")
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fields["model"] = name
	out, err := json.Marshal(fields)
	return out, trace.Wrap(err)
}

// ErrorBody is an error response of the OpenAI interface, with a verdict added.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Verdict string  `json:"verdict"`
}

// EncodeError returns e as a JSON-encoded ErrorBody.
func EncodeError(e *verdict.Error) []byte {
	kind := "invalid_request_error"
	if e.Status >= 500 {
		kind = "server_error"
	}
	var b bytes.Buffer
	// Encoding a struct of strings cannot fail.
	_ = json.NewEncoder(&b).Encode(ErrorBody{Error: ErrorDetail{
		Message: e.Message, Type: kind, Code: e.Code, Verdict: e.Verdict.String(),
	}})
	return bytes.TrimSpace(b.Bytes())
}

// Model is an entry of ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response of /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
