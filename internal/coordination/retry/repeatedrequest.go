package retry

import "github.com/turmericworks/turmericworks/internal/state/adapter"

// suspectDigits is the number of hexadecimal digits of a fingerprint that make a suspect.
const suspectDigits = 16

// RepeatedRequest is what identifies a request that its caller sends again after it has crashed a worker, to any instance and
// from any address.
type RepeatedRequest struct {
	// Workspace and Key are those of the caller, empty on a route that needs no key. Host is where the request came from,
	// without a port.
	Workspace, Key, Host string
	Adapter              adapter.Ref
	// URI is the path and the query.
	Method, URI string
	Body        []byte
}

// Suspect returns the suspect that stands for the request.
func (r RepeatedRequest) Suspect() Suspect {
	f := NewFingerprint(r.caller(), r.Adapter, r.Method+" "+r.URI, r.Body)
	return RequestSuspect(f.String()[:suspectDigits])
}

// Common reports whether other clients are likely to send the same request at the same time.
func (r RepeatedRequest) Common() bool { return len(r.Body) == 0 }

// caller returns whose request it is. A body tells the requests of a workspace apart. Requests without one are often the same for
// many callers, which must not be refused for each other's crashes, nor clear each other's evidence: each key has its own,
// and on a route without keys each host.
func (r RepeatedRequest) caller() string {
	switch {
	case !r.Common():
		return "workspace " + r.Workspace
	case r.Key != "":
		return "key " + r.Key
	default:
		return "host " + r.Host
	}
}
