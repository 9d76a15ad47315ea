package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// caller is who sends a request.
type caller struct {
	// keyID and workspace are empty for a caller without a key.
	keyID     string
	workspace string
	// secret is kept to refuse requests that carry it anywhere else than in Authorization.
	secret string
}

const bearer = "Bearer "

// authenticate finds the caller by the bearer key. A request without a key is an anonymous caller; a
// request with a wrong key is refused even on open routes, so that a withdrawn key is noticed.
func authenticate(view *config.View, h http.Header) (caller, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return caller{}, nil
	}
	if len(values) > 1 {
		return caller{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "duplicate_authorization",
			"the request has more than one Authorization header")
	}
	// The scheme's name does not depend on case (RFC 9110).
	if len(values[0]) < len(bearer) || !strings.EqualFold(values[0][:len(bearer)], bearer) {
		return caller{}, errBadKey
	}
	secret := values[0][len(bearer):]
	id, stored, ok := view.Authenticate(secret)
	if !ok {
		return caller{}, errBadKey
	}
	return caller{keyID: id, workspace: stored.Workspace, secret: secret}, nil
}

var errBadKey = verdict.New(verdict.NotRun, http.StatusUnauthorized, "invalid_api_key",
	"the key is not valid: it is unknown or was withdrawn")

var errNoKey = verdict.New(verdict.NotRun, http.StatusUnauthorized, "missing_api_key",
	"the request needs a key in the Authorization header")

// mayUse reports whether the caller may use an object of a workspace.
func (c caller) mayUse(workspace string, open bool) bool {
	return open || (c.workspace != "" && c.workspace == workspace)
}

// errKeyInRequest refuses a request that would carry the caller's key to a backend server.
var errKeyInRequest = verdict.New(verdict.NotRun, http.StatusBadRequest, "key_in_request",
	"the request holds the key outside the Authorization header")

// leaksIn reports whether a body holds the caller's key.
func (c caller) leaksIn(body []byte) bool {
	return c.secret != "" && bytes.Contains(body, []byte(c.secret))
}

// leaksInHeader reports whether the address or a header other than Authorization holds the caller's key.
func (c caller) leaksInHeader(r *http.Request) bool {
	if c.secret == "" {
		return false
	}
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil || strings.Contains(r.URL.Path, c.secret) || strings.Contains(query, c.secret) {
		return true
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, c.secret) {
				return true
			}
		}
	}
	return false
}
