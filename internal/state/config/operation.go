package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/gravitational/trace"
)

// Op is the type of an operation.
type Op string

// The types of operation.
const (
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Kind is the kind of an operation's object.
type Kind string

// The kinds of object. The fleet settings are a single object with the ID FleetID.
const (
	KindFleet         Kind = "fleet"
	KindWorkspace     Kind = "workspace"
	KindKey           Kind = "key"
	KindAdapter       Kind = "adapter"
	KindRoute         Kind = "route"
	KindBackendServer Kind = "backend_server"
)

// FleetID is the ID of the only object of kind KindFleet.
const FleetID = "fleet"

// Operation puts or deletes one object. The operations of a change take effect atomically.
type Operation struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Value is the complete object; it is absent from a deletion.
	Value json.RawMessage `json:"value,omitempty"`
}

// NewPut returns the operation that stores value. It fails if value cannot be encoded as JSON.
func NewPut(kind Kind, id string, value any) (Operation, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return Operation{}, trace.Wrap(err, "encoding %s %q", kind, id)
	}
	return Operation{Op: OpPut, Kind: kind, ID: id, Value: b}, nil
}

// NewDelete returns the operation that deletes an object.
func NewDelete(kind Kind, id string) Operation {
	return Operation{Op: OpDelete, Kind: kind, ID: id}
}

// WithdrawsKeys reports whether all operations delete keys and there is at least one. Such a change is
// accepted whatever its base version.
func WithdrawsKeys(ops []Operation) bool {
	for _, o := range ops {
		if o.Op != OpDelete || o.Kind != KindKey {
			return false
		}
	}
	return len(ops) > 0
}

// Diff returns the operations that turn the old document into the new one, ordered by kind, then by ID.
// It fails if a value cannot be encoded as JSON, such as an infinite rate.
func Diff(old, new Document) ([]Operation, error) {
	var ops []Operation
	var err error
	if old.Fleet != new.Fleet {
		ops, err = appendPut(ops, KindFleet, FleetID, new.Fleet)
	}
	if err == nil {
		ops, err = diffMap(ops, KindWorkspace, old.Workspaces, new.Workspaces)
	}
	if err == nil {
		ops, err = diffMap(ops, KindKey, old.Keys, new.Keys)
	}
	if err == nil {
		ops, err = diffMap(ops, KindAdapter, old.Adapters, new.Adapters)
	}
	if err == nil {
		ops, err = diffMap(ops, KindRoute, old.Routes, new.Routes)
	}
	if err == nil {
		ops, err = diffMap(ops, KindBackendServer, old.BackendServers, new.BackendServers)
	}
	return ops, trace.Wrap(err)
}

func diffMap[T any](ops []Operation, kind Kind, old, new map[string]T) ([]Operation, error) {
	ids := slices.Collect(maps.Keys(new))
	for id := range old {
		if _, kept := new[id]; !kept {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var err error
	for _, id := range ids {
		before, inOld := old[id]
		after, inNew := new[id]
		switch {
		case !inNew:
			ops = append(ops, NewDelete(kind, id))
		case !inOld || !reflect.DeepEqual(before, after):
			if ops, err = appendPut(ops, kind, id, after); err != nil {
				return nil, err
			}
		}
	}
	return ops, nil
}

func appendPut(ops []Operation, kind Kind, id string, value any) ([]Operation, error) {
	o, err := NewPut(kind, id, value)
	return append(ops, o), err
}
