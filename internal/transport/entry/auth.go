package entry

import (
	"net/http"
	"strings"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// caller is who sends a request.
type caller struct {
	// keyID and workspace are empty for a caller without a key.
	keyID     string
	workspace string
}

const bearer = "Bearer "

// authenticate finds the caller by the bearer key. A request without a key is an anonymous caller; a
// request with a wrong key is refused even on open routes, so that a withdrawn key is noticed.
func authenticate(doc *config.Document, h http.Header) (caller, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return caller{}, nil
	}
	if len(values) > 1 {
		return caller{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "duplicate_authorization",
			"the request has more than one Authorization header")
	}
	secret, ok := strings.CutPrefix(values[0], bearer)
	if !ok {
		return caller{}, errBadKey
	}
	id, ok := keys.ID(secret)
	if !ok {
		return caller{}, errBadKey
	}
	stored, ok := doc.Keys[id]
	if !keys.Match(secret, stored.Hash) || !ok {
		return caller{}, errBadKey
	}
	return caller{keyID: id, workspace: stored.Workspace}, nil
}

var errBadKey = verdict.New(verdict.NotRun, http.StatusUnauthorized, "invalid_api_key",
	"the key is not valid: it is unknown or was withdrawn")

var errNoKey = verdict.New(verdict.NotRun, http.StatusUnauthorized, "missing_api_key",
	"the request needs a key in the Authorization header")

// mayUse reports whether the caller may use an object of a workspace.
func (c caller) mayUse(workspace string, open bool) bool {
	return open || (c.workspace != "" && c.workspace == workspace)
}
