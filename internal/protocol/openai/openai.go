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

// Request holds the fields of a completion request that decide admission and routing.
type Request struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
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
	if err := json.Unmarshal(body, &r); err != nil {
		return r, trace.BadParameter("the body is not a completion request: %v", err)
	}
	if r.Model == "" {
		return r, trace.BadParameter("the field model is missing")
	}
	if len(r.Messages) == 0 && len(r.Prompt) == 0 {
		return r, trace.BadParameter("neither messages nor prompt is present")
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 || r.N < 0 {
		return r, trace.BadParameter("max_tokens, max_completion_tokens and n must not be negative")
	}
	return r, nil
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
	out := r.MaxCompletionTokens
	if out == 0 {
		out = r.MaxTokens
	}
	if out == 0 {
		out = defaultMaxTokens
	}
	return (len(r.Messages)+len(r.Prompt))/bytesPerToken + 1 + out*max(r.N, 1)
}

// SetModel returns the body with its model replaced.
func SetModel(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, trace.Wrap(err)
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
