package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// caller is the sender of a request.
type caller struct {
	// keyID and workspace are empty for a caller without a key.
	keyID     string
	workspace string
	// secret is the key itself, kept to refuse requests that repeat it outside the Authorization header.
	secret string
}

const bearerPrefix = "Bearer "

// authenticate identifies the caller by its bearer key. A request without a key is anonymous. A request
// with an invalid key is refused even on open routes, so that the caller notices a withdrawn key.
func authenticate(view *config.View, h http.Header) (caller, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return caller{}, nil
	}
	if len(values) > 1 {
		return caller{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "duplicate_authorization",
			"the request has more than one Authorization header")
	}
	// The name of the authentication scheme is case-insensitive (RFC 9110).
	if len(values[0]) < len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return caller{}, errInvalidKey
	}
	secret := values[0][len(bearerPrefix):]
	id, stored, ok := view.Authenticate(secret)
	if !ok {
		return caller{}, errInvalidKey
	}
	return caller{keyID: id, workspace: stored.Workspace, secret: secret}, nil
}

var errInvalidKey = verdict.New(verdict.NotRun, http.StatusUnauthorized, "invalid_api_key",
	"the key is not valid: it is unknown or was withdrawn")

var errMissingKey = verdict.New(verdict.NotRun, http.StatusUnauthorized, "missing_api_key",
	"the request needs a key in the Authorization header")

// mayUse reports whether the caller may use an object of a workspace. Anyone may use an open object.
func (c caller) mayUse(workspace string, open bool) bool {
	return open || (c.workspace != "" && c.workspace == workspace)
}

// errKeyInRequest refuses a request that would forward the caller's key to a backend server.
var errKeyInRequest = verdict.New(verdict.NotRun, http.StatusBadRequest, "key_in_request",
	"the request holds the key outside the Authorization header")

// keyInBody reports whether a body contains the caller's key.
func (c caller) keyInBody(body []byte) bool {
	return c.secret != "" && bytes.Contains(body, []byte(c.secret))
}

// keyInURLOrHeader reports whether the URL or a header other than Authorization contains the caller's key. A
// query that cannot be decoded counts as one that does.
func (c caller) keyInURLOrHeader(r *http.Request) bool {
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
