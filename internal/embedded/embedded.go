// Package embedded runs an instance's surroundings in its own process, on loopback, so that a newcomer
// has a working endpoint with one command.
package embedded

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/daemon"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/engine"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/standin/weightstore"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/platformhttp"
)

// The addresses of the stand-ins.
const (
	logAddress     = "127.0.0.1:8090"
	listAddress    = "127.0.0.1:8091"
	serviceAddress = "127.0.0.1:8111"
	engineAddress1 = "127.0.0.1:8101"
	engineAddress2 = "127.0.0.1:8102"
)

// Stack is an instance's surroundings.
type Stack struct {
	// Settings are those of the instance.
	Settings daemon.Settings
	stack    *stack.Stack
}

// Close stops the stand-ins.
func (s *Stack) Close() { s.stack.Close() }

// Start runs the stand-ins, publishes an example configuration and writes a caller's key and an
// operator's token to the files caller.key and operator.token in keyDir.
func Start(n network.Network, keyDir string) (*Stack, error) {
	s := daemon.DefaultSettings()
	s.Platform.LogURL, s.Platform.ListURL = "http://"+logAddress, "http://"+listAddress
	s.PeerAddress = s.Listen.Peers
	token, err := writeKey(filepath.Join(keyDir, "operator.token"))
	if err != nil {
		return nil, err
	}
	s.Operators = []daemon.Operator{{
		Name: "operator", Hash: token.Hash, Roles: []admin.Role{admin.RoleRead, admin.RoleKeys, admin.RolePublish},
	}}
	o := stack.Options{
		LogAddress: logAddress, ListAddress: listAddress, ServiceAddress: serviceAddress,
		EngineAddresses: []string{engineAddress1, engineAddress2},
		Engine: engine.Options{
			Slots: 8, MaxBatch: 256, Prefill: 40 * time.Millisecond, TokenTime: 20 * time.Millisecond, ChecksFence: true,
		},
		Store:     weightstore.Limits{LoadTime: 250 * time.Millisecond, MaxInFlight: 8},
		Retention: s.Platform.Retention(),
		Instances: []platform.Instance{{
			ID: s.Instance, DataCentre: s.DataCentre, PeerAddr: s.PeerAddress, State: platform.Live,
		}},
	}
	st, err := stack.Start(n, o)
	if err != nil {
		return nil, err
	}
	if err := PublishExample(n, o, keyDir); err != nil {
		st.Close()
		return nil, err
	}
	return &Stack{Settings: s, stack: st}, nil
}

// keyFileMode lets only the owner read a key.
const keyFileMode = 0o600

func writeKey(file string) (keys.Key, error) {
	k, err := keys.Generate()
	if err != nil {
		return k, err
	}
	return k, trace.ConvertSystemError(os.WriteFile(file, []byte(k.Secret+"\n"), keyFileMode))
}

// PublishExample appends the example configuration to the empty log of the stand-ins, and writes a caller's
// key to the file caller.key in keyDir.
func PublishExample(n network.Network, o stack.Options, keyDir string) error {
	key, err := writeKey(filepath.Join(keyDir, "caller.key"))
	if err != nil {
		return err
	}
	ops, err := config.Diff(config.Document{}, exampleDocument(o, key))
	if err != nil {
		return err
	}
	env, err := config.NewChange("example", "embedded", config.Change{Operations: ops, Author: "embedded"})
	if err != nil {
		return err
	}
	data, err := record.Encode([]record.Envelope{env})
	if err != nil {
		return err
	}
	log := platformhttp.NewLog("http://"+o.LogAddress, network.HTTPTransport(n))
	_, err = log.Append(context.Background(), platform.StreamConfig, data)
	return trace.Wrap(err)
}

// exampleAdapters is more than the engines' slots, so that loads and evictions show.
const exampleAdapters = 24

func exampleDocument(o stack.Options, key keys.Key) config.Document {
	d := config.Document{
		Fleet: config.Fleet{WeightStore: config.WeightStore{LoadsPerSecond: 4, FullSpeed: 1, MaxInFlight: 8}},
		Workspaces: map[string]config.Workspace{
			"example": {TokensPerSecond: 100_000, BurstTokens: 500_000},
		},
		Keys:     map[string]config.Key{key.ID: {Workspace: "example", Hash: key.Hash}},
		Adapters: map[string]config.Adapter{},
		Routes: map[string]config.Route{
			"lots":   {Workspace: "example", Service: "lots", NonIdempotent: true},
			"status": {Workspace: "example", Service: "lots"},
		},
		BackendServers: map[string]config.BackendServer{
			"lots-1": {Kind: config.KindService, URL: "http://" + o.ServiceAddress, DataCentre: "local", Service: "lots"},
		},
	}
	for i := range exampleAdapters {
		d.Adapters[fmt.Sprintf("adapter-%02d", i+1)] = config.Adapter{
			Workspace: "example", BaseModel: "base", Versions: []string{"1", "2"}, Default: "2",
		}
	}
	for i, address := range o.EngineAddresses {
		d.BackendServers[fmt.Sprintf("engine-%d", i+1)] = config.BackendServer{
			Kind: config.KindEngine, URL: "http://" + address, DataCentre: "local", BaseModel: "base",
			Slots: o.Engine.Slots, MaxBatch: o.Engine.MaxBatch, ChecksFence: o.Engine.ChecksFence, EvictsOnlyIdle: true,
		}
	}
	return d
}
