// Package openai holds the caller-side messages of the OpenAI HTTP interface that the system reads
// or writes itself. Everything else in a body is passed on unread.
package openai

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// MaxBodyBytes bounds a request body. The longest prompts in use are inspection records of a few
// hundred kilobytes.
const MaxBodyBytes = 4 << 20

// MaxDepth bounds the nesting of a request body.
const MaxDepth = 64

// defaultMaxTokens is the output reserved when a request names no limit.
const defaultMaxTokens = 512

// bytesPerToken estimates prompt tokens from bytes; the engine's usage settles the difference.
const bytesPerToken = 4

const (
	// maxOutputTokens and maxChoices bound the fields that multiply into the reserved tokens, so that
	// the product cannot overflow.
	maxOutputTokens = 1 << 20
	maxChoices      = 128
)

// Request holds the fields of a completion request that decide admission and routing.
type Request struct {
	Model               string
	Stream              bool
	MaxTokens           int
	MaxCompletionTokens int
	// N and BestOf are how many answers are generated for each prompt.
	N        int
	BestOf   int
	Messages json.RawMessage
	// Prompt is a string, an array of tokens, or an array of prompts.
	Prompt json.RawMessage
}

// Parse reads a body of at most MaxBodyBytes. It refuses trailing data and deep nesting.
func Parse(body []byte) (Request, error) {
	var r Request
	if !json.Valid(body) {
		return r, trace.BadParameter("the body is not valid JSON")
	}
	if depth(body) > MaxDepth {
		return r, trace.BadParameter("the body is nested deeper than %d levels", MaxDepth)
	}
	if err := r.decode(body); err != nil {
		return r, err
	}
	return r, r.check()
}

// decode reads the fields by their exact names. Decoding into a struct would also take MAX_TOKENS for
// max_tokens, so that a request could reserve less than the engine then generates.
func (r *Request) decode(body []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return trace.BadParameter("the body is not a JSON object")
	}
	for _, f := range []struct {
		name string
		to   any
	}{
		{"model", &r.Model}, {"stream", &r.Stream}, {"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxCompletionTokens}, {"n", &r.N}, {"best_of", &r.BestOf},
		{"messages", &r.Messages}, {"prompt", &r.Prompt},
	} {
		raw := fields[f.name]
		if raw == nil || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
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

// prompts returns how many prompts the request holds: an array of numbers is one prompt in tokens.
func (r Request) prompts() int {
	var list []json.RawMessage
	if err := json.Unmarshal(r.Prompt, &list); err != nil || len(list) == 0 {
		return 1
	}
	if first := list[0][0]; first == '"' || first == '[' {
		return len(list)
	}
	return 1
}

// depth returns the deepest nesting of valid JSON.
func depth(body []byte) int {
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

// ReservedTokens is the most that the request can use: the estimated prompt and the largest output.
func (r Request) ReservedTokens() int {
	out := max(r.MaxCompletionTokens, r.MaxTokens)
	if out == 0 {
		out = defaultMaxTokens
	}
	answers := max(r.N, r.BestOf, 1) * r.prompts()
	return (len(r.Messages)+len(r.Prompt))/bytesPerToken + 1 + out*answers
}

// SetModel returns the body with its model replaced.
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

// ErrorBody is the interface's error object with the verdict added.
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

// EncodeError returns the JSON error object for e.
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

// Model is one entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer of /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
