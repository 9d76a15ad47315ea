// Package admin is the operators' HTTP API: its messages, its server over a narrow interface that the
// daemon implements, and its client.
//
//	GET  /admin/v1/config    ConfigAnswer
//	POST /admin/v1/changes   ChangeRequest, ChangeAnswer
//	GET  /admin/v1/status    StatusAnswer
//
// Statuses: 200, 400 (ErrorAnswer with the faults), 401, 403, 409 (ChangeAnswer with a refusal), 413
// and 503 (the change may have taken effect: send it again with the same id).
package admin

import "github.com/turmericworks/turmericworks/internal/state/config"

// ConfigResponse is the configuration at a version.
type ConfigResponse struct {
	Version  config.Version  `json:"version"`
	Document config.Document `json:"document"`
}

// ChangeRequest asks for a change.
type ChangeRequest struct {
	// ID is a UUID made by the client. A request whose answer was lost is sent again with the same ID
	// and takes effect once.
	ID string `json:"id"`
	// Base is the version that the operations were made for.
	Base       config.Version     `json:"base"`
	Operations []config.Operation `json:"operations"`
	// Author is recorded behind the token's name.
	Author string `json:"author"`
}

// ChangeResponse tells the outcome of a change.
type ChangeResponse struct {
	Accepted bool `json:"accepted"`
	// Version is the version that the change made, or the current one if it was refused.
	Version config.Version `json:"version"`
	// Refusal is set if the change was refused.
	Refusal *Refusal `json:"refusal,omitempty"`
	// ConfirmedBy and Unconfirmed are the live instances by whether they have the change in force.
	ConfirmedBy []string `json:"confirmed_by"`
	Unconfirmed []string `json:"unconfirmed"`
}

// Refusal names both sides of a conflict.
type Refusal struct {
	// Base is the version that the refused change was made for.
	Base config.Version `json:"base"`
	// Current is the version in force.
	Current config.Version `json:"current"`
	// Theirs is the change that made the current version.
	Theirs ConflictingChange `json:"theirs"`
}

// ConflictingChange identifies the other change of a conflict.
type ConflictingChange struct {
	Author string `json:"author"`
	ID     string `json:"id"`
}

// NewRefusal returns the message for a fold's refusal.
func NewRefusal(r config.Refusal) *Refusal {
	return &Refusal{Base: r.Base, Current: r.Current, Theirs: ConflictingChange{Author: r.Theirs.Author, ID: r.Theirs.ID}}
}

// StatusResponse lists the instances known to the one that answers.
type StatusResponse struct {
	Instances []InstanceStatus `json:"instances"`
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	ID            string         `json:"id"`
	DataCentre    string         `json:"data_centre"`
	Incarnation   string         `json:"incarnation"`
	ConfigVersion config.Version `json:"config_version"`
	Ready         bool           `json:"ready"`
	LeaseValid    bool           `json:"lease_valid"`
}

// ErrorResponse is the body of every failure but a refusal.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorAnswer.
type ErrorDetail struct {
	Message string `json:"message"`
	// Problems are the faults of the operations, with paths within the request.
	Problems config.Problems `json:"problems,omitempty"`
}
