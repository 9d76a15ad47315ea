package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
)

// maxBodyBytes is the largest size of a change. An initial configuration of 93,000 adapters takes about 25 MB
// as operations.
const maxBodyBytes = 64 << 20

// maxAuthorBytes is the largest length of an author's name. Every snapshot contains the authors of recent
// changes.
const maxAuthorBytes = 128

// Daemon is the interface of the entry daemon that the API uses.
type Daemon interface {
	// View returns the configuration in force at this instance.
	View() *config.View
	// Publish appends a change to the log and waits until the configuration's fold has accepted or
	// refused it and the live instances have confirmed it. If a change with the same ID was decided
	// before, Publish returns that outcome without another append. After an error the change may
	// have taken effect.
	Publish(ctx context.Context, id string, c config.Change) (ChangeResponse, error)
	// Status returns the known instances, or an error if they cannot be determined.
	Status(ctx context.Context) (StatusResponse, error)
}

// Role is a right of an operator token. Every token may read.
type Role string

// Roles of operator tokens.
const (
	// RoleRead permits reading the configuration and the status.
	RoleRead Role = "read"
	// RoleKeys permits operations on keys.
	RoleKeys Role = "keys"
	// RolePublish permits operations on everything but keys.
	RolePublish Role = "publish"
)

// Token is an operator token in the daemon's settings.
type Token struct {
	// Name identifies the holder in the log.
	Name string `json:"name"`
	// Hash is the SHA-256 of the token, in hexadecimal.
	Hash string `json:"hash"`
	// Roles are the token's rights; there is at least one.
	Roles []Role `json:"roles"`
}

// CheckTokens returns an error that lists every invalid value in the tokens.
func CheckTokens(tokens []Token) error {
	var faults []error
	names := map[string]bool{}
	for i, t := range tokens {
		if t.Name == "" || len(t.Name) > maxAuthorBytes || strings.Contains(t.Name, "/") || names[t.Name] {
			faults = append(faults, trace.BadParameter("/%d/name: must be unique, at most %d bytes and without a slash", i, maxAuthorBytes))
		}
		names[t.Name] = true
		if len(t.Hash) != len(keys.Hash("")) || strings.Trim(t.Hash, "0123456789abcdef") != "" {
			faults = append(faults, trace.BadParameter("/%d/hash: must be 64 lower-case hexadecimal digits", i))
		}
		if len(t.Roles) == 0 {
			faults = append(faults, trace.BadParameter("/%d/roles: must not be empty", i))
		}
		for _, r := range t.Roles {
			if r != RoleRead && r != RoleKeys && r != RolePublish {
				faults = append(faults, trace.BadParameter("/%d/roles: unknown role %q", i, r))
			}
		}
	}
	return trace.NewAggregate(faults...)
}

type handler struct {
	daemon Daemon
	tokens []Token
}

// NewHandler returns the HTTP handler of the API, or an error if a token is invalid. Without tokens the
// handler refuses every request.
func NewHandler(d Daemon, tokens []Token) (http.Handler, error) {
	if err := CheckTokens(tokens); err != nil {
		return nil, trace.Wrap(err)
	}
	h := &handler{daemon: d, tokens: slices.Clone(tokens)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/config", h.authenticated(h.config))
	mux.HandleFunc("GET /admin/v1/status", h.authenticated(h.status))
	mux.HandleFunc("POST /admin/v1/changes", h.authenticated(h.change))
	return mux, nil
}

// RequireToken returns a handler that passes on only requests with one of the operator tokens. Any role is
// enough, since every token may read.
func RequireToken(tokens []Token, next http.Handler) http.Handler {
	h := &handler{tokens: tokens}
	return h.authenticated(func(w http.ResponseWriter, r *http.Request, _ Token) { next.ServeHTTP(w, r) })
}

// authenticated returns a handler that passes a request on with its token, or responds with 401 if it
// has no valid token.
func (h *handler) authenticated(next func(http.ResponseWriter, *http.Request, Token)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ok && secret != "" {
			for _, t := range h.tokens {
				if keys.Match(secret, t.Hash) {
					next(w, r, t)
					return
				}
			}
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, http.StatusUnauthorized, "the operator token is missing or unknown", nil)
	}
}

func (h *handler) config(w http.ResponseWriter, _ *http.Request, _ Token) {
	v := h.daemon.View()
	writeJSON(w, http.StatusOK, ConfigResponse{Version: v.Version(), Document: v.Document()})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request, _ Token) {
	s, err := h.daemon.Status(r.Context())
	if err != nil {
		writeUnavailable(w, "the status is not available: "+trace.UserMessage(err))
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// rawChange is a ChangeRequest whose operations are checked before they are decoded.
type rawChange struct {
	ChangeRequest
	Operations json.RawMessage `json:"operations"`
}

func (h *handler) change(w http.ResponseWriter, r *http.Request, t Token) {
	request, ok := decodeChange(w, r)
	if !ok {
		return
	}
	ops, err := config.ParseOperations(request.Operations)
	if err != nil {
		writeProblems(w, err)
		return
	}
	if kind, ok := t.permits(ops); !ok {
		writeError(w, http.StatusForbidden, "the token "+t.Name+" has no right to change objects of kind "+string(kind), nil)
		return
	}
	v := h.daemon.View()
	if _, decided := v.RecentChange(request.ID); !decided && !h.checkNew(w, v, request.Base, ops) {
		return
	}
	author := t.Name
	if request.Author != "" {
		author += "/" + request.Author
	}
	a, err := h.daemon.Publish(r.Context(), request.ID, config.Change{Base: request.Base, Operations: ops, Author: author})
	switch {
	case err != nil:
		writeUnavailable(w, "the change may have taken effect, send it again with the same id: "+trace.UserMessage(err))
	case a.Accepted:
		// The warnings are determined after the publication, so that they do not delay it.
		a.Warnings = v.WarningsOf(ops)
		writeJSON(w, http.StatusOK, a)
	default:
		writeJSON(w, http.StatusConflict, a)
	}
}

// checkNew reports whether a new change can be appended, and otherwise writes the response. It can refuse
// an outdated base before the append, because versions only increase.
func (h *handler) checkNew(w http.ResponseWriter, v *config.View, base config.Version, ops []config.Operation) bool {
	anyBase := config.WithdrawsKeys(ops)
	if !anyBase && base < v.Version() {
		refusal := NewRefusal(config.Refusal{Base: base, Current: v.Version(), Theirs: v.LastChange()})
		writeJSON(w, http.StatusConflict, ChangeResponse{Version: v.Version(), Refusal: refusal})
		return false
	}
	if !anyBase && base > v.Version() {
		writeUnavailable(w, "this instance has not read the base version yet; nothing was changed")
		return false
	}
	if err := v.CheckOperations(ops); err != nil {
		writeProblems(w, err)
		return false
	}
	return true
}

// decodeChange decodes a request. If the request is malformed, it writes the response and returns false.
func decodeChange(w http.ResponseWriter, r *http.Request) (rawChange, bool) {
	var c rawChange
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&c)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, "the change is larger than 64 MiB", nil)
	case err != nil:
		writeError(w, http.StatusBadRequest, "the body is not a change: "+err.Error(), nil)
	case d.More():
		writeError(w, http.StatusBadRequest, "the body holds more than one JSON value", nil)
	case uuid.Validate(c.ID) != nil:
		writeProblem(w, "/id", "must be a UUID")
	case len(c.Author) > maxAuthorBytes:
		writeProblem(w, "/author", "is too long")
	default:
		return c, true
	}
	return c, false
}

// permits reports whether the token may carry out the operations. If not, it returns the first kind of object
// that the token may not change.
func (t Token) permits(ops []config.Operation) (config.Kind, bool) {
	for _, o := range ops {
		needed := RolePublish
		if o.Kind == config.KindKey {
			needed = RoleKeys
		}
		if !slices.Contains(t.Roles, needed) {
			return o.Kind, false
		}
	}
	return "", true
}

func writeProblems(w http.ResponseWriter, err error) {
	problems := slices.Clone(config.ProblemsOf(err))
	for i := range problems {
		problems[i].Path = "/operations" + problems[i].Path
	}
	message := "the operations are not valid"
	if problems == nil {
		message += ": " + trace.UserMessage(err)
	}
	writeError(w, http.StatusBadRequest, message, problems)
}

func writeProblem(w http.ResponseWriter, path, message string) {
	writeError(w, http.StatusBadRequest, "the change is not valid", config.Problems{{Path: path, Message: message}})
}

func writeUnavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, message, nil)
}

func writeError(w http.ResponseWriter, status int, message string, problems config.Problems) {
	writeJSON(w, status, ErrorResponse{ErrorDetail{Message: message, Problems: problems}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":{"message":"encoding the answer failed"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected and cannot be told.
	_, _ = w.Write(b)
}
