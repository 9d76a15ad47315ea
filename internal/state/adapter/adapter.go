// Package adapter defines references to LoRA adapters and their versions.
package adapter

import "strings"

// Ref refers to an adapter version. An empty Version means that none was selected yet.
type Ref struct {
	Name    string
	Version string
}

// String returns the wire form "name@version", or "name" without a version.
func (r Ref) String() string {
	if r.Version == "" {
		return r.Name
	}
	return r.Name + "@" + r.Version
}

// Parse parses the wire form "name" or "name@version".
func Parse(s string) Ref {
	name, version, _ := strings.Cut(s, "@")
	return Ref{Name: name, Version: version}
}
