// Package embedded runs simulated dependencies of an instance in the instance's own process, on loopback
// addresses, so that one command starts a working endpoint without further setup.
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

// The listen addresses of the simulated dependencies.
const (
	logAddress     = "127.0.0.1:8090"
	listAddress    = "127.0.0.1:8091"
	serviceAddress = "127.0.0.1:8111"
	engineAddress1 = "127.0.0.1:8101"
	engineAddress2 = "127.0.0.1:8102"
)

// Stack is the running set of dependencies of one instance.
type Stack struct {
	// Settings are the settings for the instance.
	Settings daemon.Settings
	running  *stack.Stack
}

// Close stops the dependencies.
func (s *Stack) Close() { s.running.Close() }

// Start starts the dependencies, publishes an example configuration and writes a caller's key and an
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
	running, err := stack.Start(n, o)
	if err != nil {
		return nil, err
	}
	if err := PublishExample(n, o, keyDir); err != nil {
		running.Close()
		return nil, err
	}
	return &Stack{Settings: s, running: running}, nil
}

// keyFileMode allows only the owner to read a key file.
const keyFileMode = 0o600

// writeKey generates a key and writes its secret to a file.
func writeKey(file string) (keys.Key, error) {
	k, err := keys.Generate()
	if err != nil {
		return k, err
	}
	return k, trace.ConvertSystemError(os.WriteFile(file, []byte(k.Secret+"\n"), keyFileMode))
}

// PublishExample appends the example configuration to the log service of a stack, whose log must be empty, and
// writes a caller's key to the file caller.key in keyDir.
func PublishExample(n network.Network, o stack.Options, keyDir string) error {
	key, err := writeKey(filepath.Join(keyDir, "caller.key"))
	if err != nil {
		return err
	}
	ops, err := config.Diff(config.Document{}, exampleDocument(o, key))
	if err != nil {
		return err
	}
	envelope, err := config.NewChange("example", "embedded", config.Change{Operations: ops, Author: "embedded"})
	if err != nil {
		return err
	}
	data, err := record.Encode([]record.Envelope{envelope})
	if err != nil {
		return err
	}
	log := platformhttp.NewLog("http://"+o.LogAddress, network.HTTPTransport(n))
	_, err = log.Append(context.Background(), platform.StreamConfig, data)
	return trace.Wrap(err)
}

// exampleAdapters exceeds the number of slots of both engines, so that adapters are loaded and evicted.
const exampleAdapters = 24

func exampleDocument(o stack.Options, key keys.Key) config.Document {
	doc := config.Document{
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
		doc.Adapters[fmt.Sprintf("adapter-%02d", i+1)] = config.Adapter{
			Workspace: "example", BaseModel: "base", Versions: []string{"1", "2"}, Default: "2",
		}
	}
	for i, address := range o.EngineAddresses {
		doc.BackendServers[fmt.Sprintf("engine-%d", i+1)] = config.BackendServer{
			Kind: config.KindEngine, URL: "http://" + address, DataCentre: "local", BaseModel: "base",
			Slots: o.Engine.Slots, MaxBatch: o.Engine.MaxBatch, ChecksFence: o.Engine.ChecksFence, EvictsOnlyIdle: true,
		}
	}
	return doc
}
