// Package gateway implements an instance that forwards requests for a platform: it follows the operators'
// configuration and the registry of workers, coordinates with the other instances through the platform's log, owns
// workers, and serves callers.
package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Settings configure one instance. All fields are required unless a default is given.
type Settings struct {
	// Instance is the name of the machine, unique in the fleet.
	Instance string `json:"instance"`
	// DataCentre is where the instance runs. Workers of the same data centre are preferred.
	DataCentre string `json:"data_centre"`
	// FirstStart is true only when the whole fleet starts for the first time: token buckets then start full.
	FirstStart bool `json:"first_start"`
	// CallersAddress, ReadinessAddress and PeerAddress are HOST:PORT to listen on.
	CallersAddress   string `json:"callers_address"`
	ReadinessAddress string `json:"readiness_address"`
	PeerAddress      string `json:"peer_address"`
	// MetricsAddress is HOST:PORT to serve metrics on.
	MetricsAddress string `json:"metrics_address"`
	// LogService is HOST:PORT of the platform's log service.
	LogService string `json:"log_service"`
	// PeerPlainText permits connections between instances without TLS, for use on a trusted network.
	PeerPlainText bool `json:"peer_plain_text"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `json:"memory_mb"`
	// LogLevel is one of debug, info, warn and error. Default info.
	LogLevel string `json:"log_level"`
	// MixedPrompts lets owners bound what long prompts delay for short ones, where the routes of a service bring both, and lets
	// work that is late wait for room. Default false.
	MixedPrompts bool `json:"mixed_prompts"`
	// WorkspaceShares lets owners and keepers divide capacity that is short between workspaces. Default false.
	WorkspaceShares bool   `json:"workspace_shares"`
	Bounds          Bounds `json:"bounds"`
	// CallerLimits bound what connections of callers hold.
	CallerLimits CallerLimits `json:"caller_limits"`
}

// Bounds are the operators' limits on delays, on the overdraft of rates and on retries.
type Bounds struct {
	// KeyWithdrawalMS is the time in milliseconds within which a withdrawn key must stop working.
	KeyWithdrawalMS int `json:"key_withdrawal_ms"`
	// ConfigApplyMS is the time in milliseconds after which no request is decided by an earlier configuration, unless the log
	// service is unavailable. 0, the default, sets no bound.
	ConfigApplyMS int `json:"config_apply_ms"`
	// AdapterVersionMS is the time in milliseconds after a new adapter version is declared from which no request
	// starts on an older version.
	AdapterVersionMS int `json:"adapter_version_ms"`
	// GraceS is the time in seconds from the stop signal until the process is killed.
	GraceS float64 `json:"grace_s"`
	// DrainMS is the time in milliseconds after which a draining worker gets no new requests.
	DrainMS int `json:"drain_ms"`
	// QuotaSlack is the number of units by which a workspace may exceed its rate over the whole fleet.
	QuotaSlack float64 `json:"quota_slack"`
	// RetryRatio, RetrySlack and RetryWindowS bound the extra attempts of the whole fleet at one service.
	RetryRatio   float64 `json:"retry_ratio"`
	RetrySlack   float64 `json:"retry_slack"`
	RetryWindowS float64 `json:"retry_window_s"`
}

// minConfigApplyMS is the least bound on configurations, in milliseconds. The configuration is read several times within it.
const minConfigApplyMS = 1000

// ParseSettings parses and checks settings. Invalid values are reported together with their paths; an unknown field is
// an error.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, trace.BadParameter("settings: %v", err)
	}
	var problems []string
	check := func(ok bool, path, what string) {
		if !ok {
			problems = append(problems, fmt.Sprintf("%s: %s", path, what))
		}
	}
	for path, v := range map[string]string{
		"instance": s.Instance, "data_centre": s.DataCentre, "callers_address": s.CallersAddress,
		"readiness_address": s.ReadinessAddress, "peer_address": s.PeerAddress,
		"metrics_address": s.MetricsAddress, "log_service": s.LogService,
	} {
		check(v != "", path, "must not be empty")
	}
	check(s.PeerPlainText, "peer_plain_text", "must be true: connections between gateways have no TLS yet")
	check(s.MemoryMB > 0, "memory_mb", "must be positive")
	check(s.Bounds.KeyWithdrawalMS > 0, "bounds.key_withdrawal_ms", "must be positive")
	check(s.Bounds.ConfigApplyMS == 0 || s.Bounds.ConfigApplyMS >= minConfigApplyMS, "bounds.config_apply_ms", fmt.Sprintf("must be 0 or at least %d", minConfigApplyMS))
	check(s.Bounds.AdapterVersionMS > 0, "bounds.adapter_version_ms", "must be positive")
	check(s.Bounds.DrainMS > 0, "bounds.drain_ms", "must be positive")
	check(s.Bounds.QuotaSlack >= 0, "bounds.quota_slack", "must not be negative")
	check(s.Bounds.GraceS > 0, "bounds.grace_s", "must be positive")
	check(s.Bounds.RetryWindowS > 0, "bounds.retry_window_s", "must be positive")
	check(s.Bounds.RetryRatio >= 0, "bounds.retry_ratio", "must not be negative")
	check(s.Bounds.RetrySlack >= 0, "bounds.retry_slack", "must not be negative")
	s.checkCallerLimits(check)
	if len(problems) > 0 {
		return Settings{}, trace.BadParameter("settings: %s", strings.Join(problems, "; "))
	}
	return s, nil
}

func (b Bounds) keyWithdrawal() time.Duration {
	return time.Duration(b.KeyWithdrawalMS) * time.Millisecond
}

func (b Bounds) configApply() time.Duration { return time.Duration(b.ConfigApplyMS) * time.Millisecond }

// versionOverlap returns how long after this instance learned of a new adapter version the previous one is still used
// at workers that have not loaded the new one. The rest of the bound covers requests that wait.
func (b Bounds) versionOverlap() time.Duration {
	const share = 0.3
	return time.Duration(float64(b.AdapterVersionMS) * share * float64(time.Millisecond))
}

// oldVersionBegin returns how long after this instance learned of a new adapter version a request may still begin on the
// previous one. The rest of the bound covers the time until the instance has learned of it.
func (b Bounds) oldVersionBegin() time.Duration {
	const share = 0.5
	return time.Duration(float64(b.AdapterVersionMS) * share * float64(time.Millisecond))
}

// registryReadInterval returns the time between two reads of the registry. It is half of the drain bound, so that a
// draining worker is known within that bound. The reads do not wait for changes: each worker writes its entry about
// once a second, so a waiting read would return for every single entry.
//
// Other instances wait for a relay's reads in calls, which must not reach the timeout of a call: it closes the connection,
// and with it ends all other calls between the two instances.
func (b Bounds) registryReadInterval() time.Duration {
	const readsPerBound = 2
	return min(maxRelayInterval, time.Duration(float64(b.DrainMS)/readsPerBound*float64(time.Millisecond)))
}

func (b Bounds) grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }
