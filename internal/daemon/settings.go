package daemon

import (
	_ "embed"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
)

// Settings are the settings of one instance, written in JSON.
type Settings struct {
	// Instance is the name of the instance in the platform's list. It must be unique. No default.
	Instance string `json:"instance"`
	// DataCentre is the data centre that the instance runs in. No default.
	DataCentre string `json:"data_centre"`
	// Listen holds the addresses to listen on, as IP:port.
	Listen Listen `json:"listen"`
	// PeerAddress is the address at which other instances reach this one; set it when it differs from
	// listen.peers. Default: listen.peers.
	PeerAddress string `json:"peer_address,omitempty"`
	// Platform holds the addresses of the platform's services.
	Platform PlatformSettings `json:"platform"`
	// TLS holds the certificates. A listener works without one only on a loopback address or with
	// plain_text.
	TLS TLSSettings `json:"tls,omitzero"`
	// Operators are the credentials for the operators' API.
	Operators []Operator `json:"operators,omitempty"`
	// Limits bound the resources that callers can use.
	Limits Limits `json:"limits,omitzero"`
	// LogLevel is one of debug, info, warn, error. Default: info.
	LogLevel string `json:"log_level,omitempty"`
}

// Listen holds listen addresses.
type Listen struct {
	// Callers is the address for callers. Default: 127.0.0.1:8080.
	Callers string `json:"callers"`
	// Admin is the address for operators and the timeline. Default: 127.0.0.1:8081.
	Admin string `json:"admin"`
	// Peers is the address for other instances. Default: 127.0.0.1:8082.
	Peers string `json:"peers"`
}

// PlatformSettings hold the addresses of the platform's services.
type PlatformSettings struct {
	// LogURL is the base URL of the log service. No default.
	LogURL string `json:"log_url"`
	// ListURL is the base URL of the instance list. No default.
	ListURL string `json:"list_url"`
	// RetentionSeconds is how long the log keeps records. Keep it equal to the platform's setting:
	// snapshots and idempotency keys depend on it. Default: 604800 (7 days). Unit: seconds.
	RetentionSeconds int `json:"retention_seconds,omitempty"`
}

// Retention returns how long the log keeps records.
func (p PlatformSettings) Retention() time.Duration {
	return time.Duration(p.RetentionSeconds) * time.Second
}

// TLSSettings hold the certificates, which are read again when the files change.
type TLSSettings struct {
	// Callers is the certificate shown to callers.
	Callers KeyPair `json:"callers,omitzero"`
	// Admin is the certificate shown to operators.
	Admin KeyPair `json:"admin,omitzero"`
	// Peers is the certificate shown to other instances and checked by them.
	Peers KeyPair `json:"peers,omitzero"`
	// PeerCAFile holds the certificate authorities that must have signed the certificates of other
	// instances (PEM).
	PeerCAFile string `json:"peer_ca_file,omitempty"`
	// BackendCAFile holds the certificate authorities of backend servers and the platform (PEM). Default:
	// the system's.
	BackendCAFile string `json:"backend_ca_file,omitempty"`
	// PlainText permits listeners and connections without TLS on addresses other than loopback. Set it
	// only where the network is protected by other means. Default: false.
	PlainText bool `json:"plain_text,omitempty"`
}

// KeyPair names a certificate and its key, both PEM files.
type KeyPair struct {
	// CertFile holds the certificate and the intermediate certificates (PEM).
	CertFile string `json:"cert_file"`
	// KeyFile holds the private key (PEM).
	KeyFile string `json:"key_file"`
}

// Operator is a credential for the operators' API.
type Operator struct {
	// Name appears in the log and in the configuration's history.
	Name string `json:"name"`
	// Hash is the SHA-256 of the token, in hexadecimal.
	Hash string `json:"hash"`
	// Roles are any of read, keys and publish. Give each operator only those needed.
	Roles []admin.Role `json:"roles"`
}

// tokens returns the operators' credentials as the API's tokens.
func (s Settings) tokens() []admin.Token {
	out := make([]admin.Token, len(s.Operators))
	for i, o := range s.Operators {
		out[i] = admin.Token(o)
	}
	return out
}

// Limits bound the resources that callers can use.
type Limits struct {
	// MaxConnections is the maximum number of open caller connections. Default: 4096.
	MaxConnections int `json:"max_connections,omitempty"`
	// MaxHeaderBytes is the maximum size of a request header. Default: 32768. Unit: bytes.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxBodyMemoryBytes is the maximum number of bytes of request bodies in memory, counted as they
	// arrive; a request that exceeds it is refused with 503 and not-run. Parsing makes further copies,
	// which are not counted. Default: 268435456. Unit: bytes.
	MaxBodyMemoryBytes int `json:"max_body_memory_bytes,omitempty"`
	// MemoryMB is the memory that the process may use. Callers' heads with connections take at most an eighth of it, bodies
	// a quarter, even where max_connections and max_body_memory_bytes allow more, and responses that are not streamed an eighth,
	// beyond which they are read one at a time; the Go runtime's limit is 0.6 of it. Default: 0, which stands for 1/0.6 of
	// GOMEMLIMIT, and for 1024 without that. Unit: MiB.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Descriptors is the number of open descriptors that the process may have. Callers' connections take at most a third of
	// it. It must leave at least 8 to callers, to backend servers, to instances in each direction and to the rest: 96 if
	// max_worker_connections and max_peer_connections are not set. Default: 0, which stands for the process's own limit
	// (RLIMIT_NOFILE).
	Descriptors int `json:"descriptors,omitempty"`
	// MaxWorkerConnections is the maximum number of open connections to engines and plain services, idle ones included, of which
	// one host has at most half. A request beyond it is refused with 503 and not-run. Default: 0, which stands for a third of the
	// descriptors.
	MaxWorkerConnections int `json:"max_worker_connections,omitempty"`
	// MaxPeerConnections is the maximum number of open connections between this instance and others, half of it in each direction.
	// Default: 0, which stands for a sixth of the descriptors.
	MaxPeerConnections int `json:"max_peer_connections,omitempty"`
	// MaxFields is the maximum number of header fields of a request. Default: 256.
	MaxFields int `json:"max_fields,omitempty"`
	// MinBytesPerSecond is the rate below which a caller that has to send or to read counts as stalled. Default: 128.
	MinBytesPerSecond int `json:"min_bytes_per_second,omitempty"`
	// ReadWindowSeconds is how long a caller may be stalled in a request before its connection is closed. Default: 15. Unit: seconds.
	ReadWindowSeconds int `json:"read_window_seconds,omitempty"`
	// WriteWindowSeconds is how long a caller may be stalled in a response before its connection is closed. Above 10, it is also
	// the time that a caller has for each 64 KiB of a response, which is 10 otherwise. Default: 0, which stands for 10. Unit:
	// seconds.
	WriteWindowSeconds int `json:"write_window_seconds,omitempty"`
	// QueuedRequests is the maximum number of requests that wait for an engine. Default: 10000.
	QueuedRequests int `json:"queued_requests,omitempty"`
	// DrainSeconds is how long a planned stop takes at most. Requests in flight are waited for until 2 s, or a quarter of
	// it, before its end. Default: 330, the longest request and a margin. Unit: seconds.
	DrainSeconds int `json:"drain_seconds,omitempty"`
}

//go:embed settings_schema.json
var settingsSchema []byte

// DefaultSettings returns the settings with every default filled in.
func DefaultSettings() Settings {
	return Settings{
		Instance:   "instance-1",
		DataCentre: "local",
		Listen:     Listen{Callers: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Peers: "127.0.0.1:8082"},
		Platform: PlatformSettings{
			LogURL: "http://127.0.0.1:8090", ListURL: "http://127.0.0.1:8091", RetentionSeconds: 7 * 24 * 3600,
		},
		Limits:   Limits{MaxConnections: 4096, MaxHeaderBytes: 32 << 10, MaxBodyMemoryBytes: 256 << 20, QueuedRequests: 10_000, DrainSeconds: 330, MaxFields: 256, MinBytesPerSecond: 128, ReadWindowSeconds: 15},
		LogLevel: "info",
	}
}

// ParseSettings decodes and checks settings and fills in the defaults. Unknown fields are refused; the
// error is of type config.Problems and lists every fault with its JSON path.
func ParseSettings(data []byte) (Settings, error) {
	s := DefaultSettings()
	if err := config.CheckJSON(data, settingsSchema); err != nil {
		return s, err
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, trace.BadParameter("decoding the settings: %v", err)
	}
	if s.PeerAddress == "" {
		s.PeerAddress = s.Listen.Peers
	}
	return s, s.check()
}

// check finds violations of the rules that span several fields.
func (s Settings) check() error {
	var p config.Problems
	listeners := []struct {
		path, address string
		pair          KeyPair
	}{
		{"/listen/callers", s.Listen.Callers, s.TLS.Callers},
		{"/listen/admin", s.Listen.Admin, s.TLS.Admin},
		{"/listen/peers", s.Listen.Peers, s.TLS.Peers},
	}
	for _, l := range listeners {
		if l.pair == (KeyPair{}) && !s.TLS.PlainText && !isLoopback(l.address) {
			p = append(p, config.Problem{Path: l.path, Message: "needs a certificate under /tls, or /tls/plain_text, since it is not a loopback address"})
		}
	}
	for _, u := range []struct{ path, url string }{
		{"/platform/log_url", s.Platform.LogURL}, {"/platform/list_url", s.Platform.ListURL},
	} {
		if address, plain := strings.CutPrefix(u.url, "http://"); plain && !s.TLS.PlainText && !isLoopback(withPort(address)) {
			p = append(p, config.Problem{Path: u.path, Message: "needs https, or /tls/plain_text, since it is not a loopback address"})
		}
	}
	if s.TLS.Peers != (KeyPair{}) && s.TLS.PeerCAFile == "" {
		p = append(p, config.Problem{Path: "/tls/peer_ca_file", Message: "is missing: instances check each other's certificates"})
	}
	p = append(p, s.Limits.check(s.TLS.Callers != KeyPair{})...)
	if len(p) > 0 {
		return p
	}
	return nil
}

// withPort adds port 80 to an address without a port.
func withPort(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	return net.JoinHostPort(strings.Trim(address, "[]"), "80")
}
