// Package check finds what is wrong with the operators' configuration of forwarded routes beyond the errors for which
// instances refuse it, and what one version changes in another. It names places by kind, index and field; the names on the
// wire belong to the package that decodes them.
package check

import (
	"fmt"
	"net"
	"strings"

	"github.com/turmericworks/turmericworks/internal/state/findings"
	"github.com/turmericworks/turmericworks/internal/state/routing"
)

// Kind is a kind of entry.
type Kind string

// The kinds of entries. Keys belong to workspaces, and models to services.
const (
	KindConfig    Kind = "configuration"
	KindLimits    Kind = "limits"
	KindKey       Kind = "key"
	KindRoute     Kind = "route"
	KindWorkspace Kind = "workspace"
	KindService   Kind = "service"
	KindModel     Kind = "model"
)

// Field is a field of an entry; the empty one stands for the entry itself.
type Field string

// The fields that findings name.
const (
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPathPrefix    Field = "path prefix"
	FieldTimeout       Field = "timeout"
	FieldMaxAttempts   Field = "attempts"
	FieldTargetService Field = "target's service"
	FieldTargetWeight  Field = "target's weight"
	FieldKeys          Field = "keys"
	FieldRate          Field = "rate"
	FieldBurst         Field = "burst"
	FieldDefaultTokens Field = "default tokens"
	FieldColdRate      Field = "cold rate"
	FieldModels        Field = "models"
	FieldWeights       Field = "weights"
	FieldAdapterSize   Field = "adapter size"
)

// Place is where a finding or difference is.
type Place struct {
	Kind Kind
	// Index is that of the route, service or workspace in its list.
	Index int
	// Element is the index of a key in its workspace, of a model in its service, or of a target in its route.
	Element int
	// Name is the name of the entry; a key has that of its workspace.
	Name  string
	Field Field
}

// Finding is one result of the check.
type Finding struct {
	Severity findings.Severity
	Place    Place
	Message  string
}

// checker holds what several checks of one configuration need.
type checker struct {
	config *routing.Config
	add    func(Finding)
	// services maps each name to the last service with it, which is the one that instances use.
	services map[string]int
	used     map[string]bool
}

// Each calls add for each finding, ordered by kind and index.
func Each(c *routing.Config, add func(Finding)) {
	k := checker{config: c, add: add, services: make(map[string]int, len(c.Services)), used: map[string]bool{}}
	for i := range c.Services {
		k.services[c.Services[i].Name] = i
	}
	k.checkRoutes()
	k.checkServices()
	k.checkWorkspaces()
}

func (k *checker) warn(p Place, f Field, format string, args ...any) {
	p.Field = f
	k.add(Finding{findings.SeverityWarning, p, fmt.Sprintf(format, args...)})
}

func (k *checker) fail(p Place, f Field, format string, args ...any) {
	p.Field = f
	k.add(Finding{findings.SeverityError, p, fmt.Sprintf(format, args...)})
}

// pattern is what a route matches.
type pattern struct{ host, prefix string }

func (k *checker) checkRoutes() {
	first := make(map[pattern]int, len(k.config.Routes))
	names := make(map[string]bool, len(k.config.Routes))
	closed := false
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		p := Place{Kind: KindRoute, Index: i, Name: r.Name}
		closed = closed || !r.Public
		if names[r.Name] {
			k.warn(p, FieldName, "is the name of an earlier route, too: what is learned of both is mixed up")
		}
		names[r.Name] = true
		k.checkPattern(p, r, first)
		if r.Timeout > 0 && r.Timeout < r.TargetLatency {
			k.warn(p, FieldTimeout, "is %v, below the target latency of %v", r.Timeout, r.TargetLatency)
		}
		if !r.Retryable() && r.MaxAttempts > 1 {
			k.warn(p, FieldMaxAttempts, "is %d, but a request that may run only once gets one worker", r.MaxAttempts)
		}
		k.checkTargets(p, r)
	}
	if closed && len(k.config.Workspaces) == 0 {
		k.warn(Place{Kind: KindConfig}, "", "there are no workspaces, so that routes that are not public need no key either")
	}
}

// checkPattern checks whether requests can match a route. The first of two routes with one pattern gets all requests.
func (k *checker) checkPattern(p Place, r *routing.Route, first map[pattern]int) {
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		k.fail(p, FieldHost, "no request matches %.64q: hosts are compared without their ports", r.Host)
	}
	switch {
	case r.Host == "":
		k.fail(p, FieldHost, "is empty: no request matches")
	case !strings.HasPrefix(r.PathPrefix, "/"):
		k.fail(p, FieldPathPrefix, "no request matches %.64q: paths begin with a slash", r.PathPrefix)
	case !strings.HasSuffix(r.PathPrefix, "/"):
		k.warn(p, FieldPathPrefix, "%.64q does not end with a slash, so that it matches names that only begin with its last one", r.PathPrefix)
	}
	at := pattern{strings.ToLower(r.Host), r.PathPrefix}
	if i, ok := first[at]; ok {
		k.warn(p, "", "never matches: the route %.64q before it has the same host and path prefix", k.config.Routes[i].Name)
	} else {
		first[at] = p.Index
	}
}

func (k *checker) checkTargets(p Place, r *routing.Route) {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	for j, t := range r.Targets {
		p.Element = j
		// Without a positive sum, the first target gets all requests.
		idle := len(r.Targets) > 1 && t.Weight <= 0 && (total > 0 || j > 0)
		if idle {
			k.warn(p, FieldTargetWeight, "is %g: the service %.64q gets no requests of the route", t.Weight, t.Service)
		}
		if _, ok := k.services[t.Service]; !ok {
			k.fail(p, FieldTargetService, "there is no service %.64q", t.Service)
		}
		k.used[t.Service] = k.used[t.Service] || !idle
	}
}

func (k *checker) checkServices() {
	for i := range k.config.Services {
		s := &k.config.Services[i]
		p := Place{Kind: KindService, Index: i, Name: s.Name}
		switch {
		case k.services[s.Name] != i:
			k.warn(p, FieldName, "is the name of a later service, too, which is used instead")
		case !k.used[s.Name]:
			k.warn(p, "", "no route leads to it")
		}
		if s.ColdRate > 0 && s.ColdStart <= 0 {
			k.warn(p, FieldColdRate, "has no effect: no worker counts as cold, since the cold time is 0")
		}
		if s.Engine != nil {
			k.checkEngine(p, s.Engine)
		}
	}
}

// checkEngine checks whether the models and adapters of a service fit its workers. Sizes of 0 are not known.
func (k *checker) checkEngine(p Place, e *routing.Engine) {
	if len(e.Models) == 0 {
		k.fail(p, FieldModels, "the engine has no model, so that no adapter is loaded")
	}
	for j, m := range e.Models {
		p := Place{Kind: KindModel, Index: p.Index, Element: j, Name: p.Name + "/" + m.Name}
		if j > 0 {
			k.warn(p, "", "only the first model of a service gets its adapters loaded")
		}
		if m.Adapters > 0 && e.AdapterSlots <= 0 {
			k.fail(p, "", "no worker loads its %d adapters: the engine has no adapter slots", m.Adapters)
		}
		room := e.WeightsMB - m.WeightsMB
		switch {
		case e.WeightsMB <= 0:
		case room < 0:
			k.fail(p, FieldWeights, "fits no worker: it takes %g MB of %g MB", m.WeightsMB, e.WeightsMB)
		case m.Adapters <= 0 || m.AdapterMB <= 0:
		case m.AdapterMB > room:
			k.fail(p, FieldAdapterSize, "its adapters fit no worker: one takes %g MB, and the model leaves %g MB", m.AdapterMB, room)
		default:
			// At most as many slots are used as there are adapters.
			if n := e.AdapterRoom(m.Name, nil); min(e.AdapterSlots, m.Adapters) > n {
				k.warn(p, FieldAdapterSize, "a worker has %d adapter slots but memory for %d adapters only", e.AdapterSlots, n)
			}
		}
	}
}

// heldKey is where a key is found first.
type heldKey struct{ workspace, element int }

func (k *checker) checkWorkspaces() {
	held := map[string]heldKey{}
	byName := make(map[string]int, len(k.config.Workspaces))
	for i := range k.config.Workspaces {
		byName[k.config.Workspaces[i].Name] = i
	}
	for i := range k.config.Workspaces {
		w := &k.config.Workspaces[i]
		p := Place{Kind: KindWorkspace, Index: i, Name: w.Name}
		if byName[w.Name] != i {
			k.warn(p, FieldName, "is the name of a later workspace, too, whose rate is used instead")
		}
		if len(w.Keys) == 0 {
			k.warn(p, FieldKeys, "it has no key, so that no caller uses it")
		}
		k.checkKeys(i, w, held)
		k.checkRate(p, w)
	}
}

// checkKeys checks the keys of a workspace. Messages don't contain keys, which are secrets.
func (k *checker) checkKeys(i int, w *routing.Workspace, held map[string]heldKey) {
	for j, key := range w.Keys {
		p := Place{Kind: KindKey, Index: i, Element: j, Name: w.Name}
		if key == "" {
			k.warn(p, "", "is empty: requests without a key count as the workspace's")
		}
		earlier, ok := held[key]
		switch {
		case !ok:
		case earlier.workspace == i:
			k.warn(p, "", "occurs twice")
		default:
			// The last one wins in routing.Compile.
			other := k.config.Workspaces[earlier.workspace].Name
			k.warn(Place{Kind: KindKey, Index: earlier.workspace, Element: earlier.element, Name: other}, "",
				"is also a key of the workspace %.64q, whose requests those with it count as", w.Name)
		}
		held[key] = heldKey{i, j}
	}
}

func (k *checker) checkRate(p Place, w *routing.Workspace) {
	cost, unit := 1.0, "request"
	if w.CountsTokens {
		cost, unit = max(w.DefaultTokens, 1), "token"
		if w.DefaultTokens <= 0 && w.Rate > 0 {
			k.warn(p, FieldDefaultTokens, "is %g: requests that don't state their tokens cost nothing", w.DefaultTokens)
		}
	}
	switch {
	case w.Rate < 0:
		k.warn(p, FieldRate, "is negative, which means no limit")
	case w.Rate == 0 && w.Burst > 0:
		k.warn(p, FieldBurst, "has no effect without a rate")
	case w.Rate > 0 && w.Burst < cost:
		k.warn(p, FieldBurst, "holds %g units, but one request costs %g (unit: %s)", w.Burst, cost, unit)
	}
}
