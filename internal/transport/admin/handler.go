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

// maxBodyBytes bounds a change. A first document of 93,000 adapters is about 25 MB as operations.
const maxBodyBytes = 64 << 20

// maxAuthorBytes bounds the author's name, which every snapshot carries for recent changes.
const maxAuthorBytes = 128

// Daemon is what the API asks of the entry daemon.
type Daemon interface {
	// View returns the configuration in force at this instance.
	View() *config.View
	// Publish appends a change and waits until the fold has decided on it and live instances have
	// confirmed it. An id that was decided before is answered without another append. An error
	// means that the change may have taken effect.
	Publish(ctx context.Context, id string, c config.Change) (ChangeAnswer, error)
	// Status returns the known instances. It fails if they cannot be determined.
	Status(ctx context.Context) (StatusAnswer, error)
}

// Role is a right of an operator token. Every token may read.
type Role string

// The roles.
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

// CheckTokens returns an error that names every fault of the tokens.
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

// NewHandler returns the API's server. It fails if a token is invalid. Without tokens every request is
// refused.
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

// RequireToken protects a handler with the operators' tokens; every token may read.
func RequireToken(tokens []Token, next http.Handler) http.Handler {
	h := &handler{tokens: tokens}
	return h.authenticated(func(w http.ResponseWriter, r *http.Request, _ Token) { next.ServeHTTP(w, r) })
}

// authenticated passes a request on with its token, or answers 401.
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
		fail(w, http.StatusUnauthorized, "the operator token is missing or unknown", nil)
	}
}

func (h *handler) config(w http.ResponseWriter, _ *http.Request, _ Token) {
	v := h.daemon.View()
	answer(w, http.StatusOK, ConfigAnswer{Version: v.Version(), Document: v.Document()})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request, _ Token) {
	s, err := h.daemon.Status(r.Context())
	if err != nil {
		unavailable(w, "the status is not available: "+trace.UserMessage(err))
		return
	}
	answer(w, http.StatusOK, s)
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
		invalid(w, err)
		return
	}
	if kind, ok := t.permits(ops); !ok {
		fail(w, http.StatusForbidden, "the token "+t.Name+" has no right to change objects of kind "+string(kind), nil)
		return
	}
	v := h.daemon.View()
	if _, decided := v.RecentChange(request.ID); !decided && !h.prepared(w, v, request.Base, ops) {
		return
	}
	author := t.Name
	if request.Author != "" {
		author += "/" + request.Author
	}
	a, err := h.daemon.Publish(r.Context(), request.ID, config.Change{Base: request.Base, Operations: ops, Author: author})
	switch {
	case err != nil:
		unavailable(w, "the change may have taken effect, send it again with the same id: "+trace.UserMessage(err))
	case a.Accepted:
		answer(w, http.StatusOK, a)
	default:
		answer(w, http.StatusConflict, a)
	}
}

// prepared reports whether a new change can be appended, and answers it otherwise. A stale base is
// refused here already, since versions only grow.
func (h *handler) prepared(w http.ResponseWriter, v *config.View, base config.Version, ops []config.Operation) bool {
	exempt := config.WithdrawsKeys(ops)
	if !exempt && base < v.Version() {
		refusal := RefusalOf(config.Refusal{Base: base, Current: v.Version(), Theirs: v.LastChange()})
		answer(w, http.StatusConflict, ChangeAnswer{Version: v.Version(), Refusal: refusal})
		return false
	}
	if !exempt && base > v.Version() {
		unavailable(w, "this instance has not read the base version yet; nothing was changed")
		return false
	}
	if err := v.CheckOperations(ops); err != nil {
		invalid(w, err)
		return false
	}
	return true
}

// decodeChange reads a request, and answers it if it is malformed.
func decodeChange(w http.ResponseWriter, r *http.Request) (rawChange, bool) {
	var c rawChange
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&c)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, "the change is larger than 64 MiB", nil)
	case err != nil:
		fail(w, http.StatusBadRequest, "the body is not a change: "+err.Error(), nil)
	case d.More():
		fail(w, http.StatusBadRequest, "the body holds more than one JSON value", nil)
	case uuid.Validate(c.ID) != nil:
		invalidAt(w, "/id", "must be a UUID")
	case len(c.Author) > maxAuthorBytes:
		invalidAt(w, "/author", "is too long")
	default:
		return c, true
	}
	return c, false
}

// permits reports whether the token may carry out the operations, or the first kind that it may not
// change.
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

func invalid(w http.ResponseWriter, err error) {
	problems := slices.Clone(config.ProblemsOf(err))
	for i := range problems {
		problems[i].Path = "/operations" + problems[i].Path
	}
	message := "the operations are not valid"
	if problems == nil {
		message += ": " + trace.UserMessage(err)
	}
	fail(w, http.StatusBadRequest, message, problems)
}

func invalidAt(w http.ResponseWriter, path, message string) {
	fail(w, http.StatusBadRequest, "the change is not valid", config.Problems{{Path: path, Message: message}})
}

func unavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "1")
	fail(w, http.StatusServiceUnavailable, message, nil)
}

func fail(w http.ResponseWriter, status int, message string, problems config.Problems) {
	answer(w, status, ErrorAnswer{ErrorDetail{Message: message, Problems: problems}})
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":{"message":"encoding the answer failed"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone; there is nobody to report a write error to.
	_, _ = w.Write(b)
}
