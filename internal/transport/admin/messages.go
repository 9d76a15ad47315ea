// Package admin implements the operators' HTTP API: its messages, its server, which uses the daemon through
// the interface Daemon, and its client.
//
//	GET  /admin/v1/config    ConfigResponse
//	POST /admin/v1/changes   ChangeRequest, ChangeResponse
//	GET  /admin/v1/status    StatusResponse
//
// Statuses: 200, 400 (ErrorResponse with the problems), 401, 403, 409 (ChangeResponse with a refusal), 413
// and 503 (the change may have taken effect: send it again with the same ID).
package admin

import "github.com/turmericworks/turmericworks/internal/state/config"

// ConfigResponse is the configuration in force and its version.
type ConfigResponse struct {
	Version  config.Version  `json:"version"`
	Document config.Document `json:"document"`
}

// ChangeRequest asks for a change.
type ChangeRequest struct {
	// ID is a UUID chosen by the client. A request whose response was lost can be sent again with the same
	// ID: it takes effect only once.
	ID string `json:"id"`
	// Base is the configuration version on which the operations are based.
	Base       config.Version     `json:"base"`
	Operations []config.Operation `json:"operations"`
	// Author is recorded after the token's name and a slash, unless it is empty.
	Author string `json:"author"`
}

// ChangeResponse tells the outcome of a change.
type ChangeResponse struct {
	Accepted bool `json:"accepted"`
	// Version is the version that the change created, or the current one if the change was refused.
	Version config.Version `json:"version"`
	// Refusal is set if the change was refused.
	Refusal *Refusal `json:"refusal,omitempty"`
	// ConfirmedBy lists the live instances on which the change is in force, and Unconfirmed the other live
	// instances.
	ConfirmedBy []string `json:"confirmed_by"`
	Unconfirmed []string `json:"unconfirmed"`
	// Warnings lists entries of the document that the change leaves useless or contradictory, with their paths.
	Warnings config.Problems `json:"warnings,omitempty"`
}

// Refusal describes the conflict because of which a change was refused.
type Refusal struct {
	// Base is the version on which the refused change is based.
	Base config.Version `json:"base"`
	// Current is the version in force.
	Current config.Version `json:"current"`
	// Theirs is the change that created the current version.
	Theirs ConflictingChange `json:"theirs"`
}

// ConflictingChange identifies the change with which a refused change conflicts.
type ConflictingChange struct {
	Author string `json:"author"`
	ID     string `json:"id"`
}

// NewRefusal returns the message for a refusal by the configuration's fold.
func NewRefusal(r config.Refusal) *Refusal {
	return &Refusal{Base: r.Base, Current: r.Current, Theirs: ConflictingChange{Author: r.Theirs.Author, ID: r.Theirs.ID}}
}

// StatusResponse lists the instances that the responding instance knows.
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

// ErrorResponse is the body of every error response except a refusal.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorResponse.
type ErrorDetail struct {
	Message string `json:"message"`
	// Problems are the invalid values of the request, with their paths in it.
	Problems config.Problems `json:"problems,omitempty"`
}
