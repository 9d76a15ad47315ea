package check

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericworks/turmericworks/internal/state/routing"
)

// valid returns a configuration without findings.
func valid() *routing.Config {
	return &routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "r0", Host: "a.example", PathPrefix: "/x/", Kind: routing.Idempotent, Timeout: 5 * time.Second, TargetLatency: time.Second,
				MaxAttempts: 2, Targets: []routing.Target{{Service: "app", Weight: 3}, {Service: "llm", Weight: 1}}},
			{Name: "r1", Host: "a.example", PathPrefix: "/x/y/", Kind: routing.NonIdempotent, MaxAttempts: 1,
				Targets: []routing.Target{{Service: "app", Weight: 1}}},
		},
		Services: []routing.Service{
			{Name: "app", ColdRate: 17, ColdStart: 3 * time.Second},
			{Name: "llm", Engine: &routing.Engine{WeightsMB: 1000, AdapterSlots: 4, Models: []routing.Model{
				{Name: "m", WeightsMB: 800, Adapters: 50, AdapterMB: 50},
			}}},
		},
		Workspaces: []routing.Workspace{
			{Name: "w0", Keys: []string{"secret-0", "secret-1"}, Rate: 10, Burst: 20},
			{Name: "w1", Keys: []string{"secret-2"}, Rate: 100, Burst: 50, CountsTokens: true, DefaultTokens: 50, Priority: -1},
		},
	}
}

// TestEach guards against a finding that is missed, has the wrong severity or place, or is reported for a configuration
// without faults.
func TestEach(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *routing.Config)
		want   string
	}{
		"none":           {func(*routing.Config) {}, ""},
		"port":           {func(c *routing.Config) { c.Routes[0].Host = "a.example:80" }, "error route 0.0 host"},
		"no host":        {func(c *routing.Config) { c.Routes[0].Host = "" }, "error route 0.0 host"},
		"prefix":         {func(c *routing.Config) { c.Routes[0].PathPrefix = "x/" }, "error route 0.0 path prefix"},
		"no slash":       {func(c *routing.Config) { c.Routes[0].PathPrefix = "/x" }, "warning route 0.0 path prefix"},
		"shadowed":       {func(c *routing.Config) { c.Routes[1].Host, c.Routes[1].PathPrefix = "A.example", "/x/" }, "warning route 1.0 "},
		"name":           {func(c *routing.Config) { c.Routes[1].Name = "r0" }, "warning route 1.0 name"},
		"timeout":        {func(c *routing.Config) { c.Routes[0].Timeout = time.Second - 1 }, "warning route 0.0 timeout"},
		"attempts":       {func(c *routing.Config) { c.Routes[1].MaxAttempts = 2 }, "warning route 1.0 attempts"},
		"no service":     {func(c *routing.Config) { c.Routes[0].Targets[1].Service = "x" }, "error route 0.1 target's service; warning service 1.0 "},
		"weight":         {func(c *routing.Config) { c.Routes[0].Targets[1].Weight = 0 }, "warning route 0.1 target's weight; warning service 1.0 "},
		"twice":          {func(c *routing.Config) { c.Services[1].Name = "app" }, "error route 0.1 target's service; warning service 0.0 name"},
		"cold":           {func(c *routing.Config) { c.Services[0].ColdStart = 0 }, "warning service 0.0 cold rate"},
		"no model":       {func(c *routing.Config) { c.Services[1].Engine.Models = nil }, "error service 1.0 models"},
		"second model":   {func(c *routing.Config) { e := c.Services[1].Engine; e.Models = append(e.Models, e.Models[0]) }, "warning model 1.1 "},
		"large model":    {func(c *routing.Config) { c.Services[1].Engine.Models[0].WeightsMB = 1001 }, "error model 1.0 weights"},
		"large adapter":  {func(c *routing.Config) { c.Services[1].Engine.Models[0].AdapterMB = 201 }, "error model 1.0 adapter size"},
		"many slots":     {func(c *routing.Config) { c.Services[1].Engine.AdapterSlots = 5 }, "warning model 1.0 adapter size"},
		"few adapters":   {func(c *routing.Config) { e := c.Services[1].Engine; e.AdapterSlots, e.Models[0].Adapters = 5, 4 }, ""},
		"no slots":       {func(c *routing.Config) { c.Services[1].Engine.AdapterSlots = 0 }, "error model 1.0 "},
		"unknown size":   {func(c *routing.Config) { c.Services[1].Engine.WeightsMB = 0 }, ""},
		"shared key":     {func(c *routing.Config) { c.Workspaces[1].Keys = []string{"secret-1"} }, "warning key 0.1 "},
		"repeated key":   {func(c *routing.Config) { c.Workspaces[0].Keys[1] = "secret-0" }, "warning key 0.1 "},
		"empty key":      {func(c *routing.Config) { c.Workspaces[0].Keys[1] = "" }, "warning key 0.1 "},
		"no key":         {func(c *routing.Config) { c.Workspaces[1].Keys = nil }, "warning workspace 1.0 keys"},
		"workspace name": {func(c *routing.Config) { c.Workspaces[1].Name = "w0" }, "warning workspace 0.0 name"},
		"burst":          {func(c *routing.Config) { c.Workspaces[0].Burst = 0.9 }, "warning workspace 0.0 burst"},
		"token burst":    {func(c *routing.Config) { c.Workspaces[1].Burst = 49 }, "warning workspace 1.0 burst"},
		"no rate":        {func(c *routing.Config) { c.Workspaces[0].Rate = 0 }, "warning workspace 0.0 burst"},
		"negative rate":  {func(c *routing.Config) { c.Workspaces[0].Rate = -1 }, "warning workspace 0.0 rate"},
		"free requests":  {func(c *routing.Config) { c.Workspaces[1].DefaultTokens = 0 }, "warning workspace 1.0 default tokens"},
		"no workspaces":  {func(c *routing.Config) { c.Workspaces = nil }, "warning configuration 0.0 "},
	} {
		config := valid()
		c.change(config)
		var got []string
		Each(config, func(f Finding) {
			got = append(got, fmt.Sprintf("%s %s %d.%d %s", f.Severity, f.Place.Kind, f.Place.Index, f.Place.Element, f.Place.Field))
			if strings.Contains(fmt.Sprint(f), "secret") {
				t.Errorf("%s: the finding shows a key: %v", name, f)
			}
		})
		if s := strings.Join(got, "; "); s != c.want {
			t.Errorf("%s: got %s, want %s", name, s, c.want)
		}
	}
}

// TestDifferences guards against a change that is missed or worded wrongly, a removal that isn't listed first, and a key in
// the words.
func TestDifferences(t *testing.T) {
	for _, c := range []struct {
		change func(c *routing.Config)
		want   string
	}{
		{func(*routing.Config) {}, ""},
		{func(c *routing.Config) { c.Version = 9; c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, ""},
		{func(c *routing.Config) {
			c.Routes = append(c.Routes[1:], routing.Route{Name: "a"})
			c.Workspaces[0].Keys = c.Workspaces[0].Keys[:1]
			c.Workspaces[1].Rate = 99
		}, `remove key w0/2: is removed: requests of workspace "w0" with it are refused|` +
			"remove route r0: is removed: requests to a.example/x/ that no other route matches are refused|" +
			"reduce workspace w1: rate falls from 100 to 99|add route a: is added"},
		{func(c *routing.Config) {
			c.Workspaces[1].Keys = []string{"secret-2", "secret-1"}
			c.Workspaces[0].Keys = []string{"secret-0"}
		},
			`reduce key w1/2: workspace changes from "w0" to "w1"`},
		{func(c *routing.Config) { c.Routes[0].Targets = c.Routes[0].Targets[:1] }, "reduce route r0: targets.llm is unset, it was 1"},
		{func(c *routing.Config) { c.Routes[0].Timeout *= 2 }, "change route r0: timeout_seconds rises from 5 to 10"},
		{func(c *routing.Config) { c.Routes[0].Priority = 1 }, "reduce route r0: priority rises from 0 to 1"},
		{func(c *routing.Config) { c.Services[1].Engine.AdapterSlots = 3 }, "reduce service llm: engine.adapter_slots falls from 4 to 3"},
		{func(c *routing.Config) { c.Services[1].Engine.Models = nil }, "remove model llm/m: is removed: requests to its adapters are refused"},
		{func(c *routing.Config) { c.Limits.MaxBodyBytes = 1 << 20 }, "reduce limits limits: max_body_bytes is set to 1048576"},
	} {
		config := valid()
		c.change(config)
		var got []string
		for _, d := range Differences(valid(), config) {
			got = append(got, fmt.Sprintf("%s %s %s: %s", d.Action, d.Kind, d.ID, d.Words))
		}
		if s := strings.Join(got, "|"); s != c.want {
			t.Errorf("got %s, want %s", s, c.want)
		}
	}
}

// TestHistory guards against a finding that is reported again while nothing but its index changes, against one that is not
// reported when it comes back, and against more reports than allowed.
func TestHistory(t *testing.T) {
	var h History
	faulty := func(bad int) *routing.Config {
		c := valid()
		for i := range bad {
			c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprint("bad-", i), Host: "b.example", PathPrefix: fmt.Sprintf("/%d/", i)},
				routing.Route{Name: fmt.Sprint("worse-", i), PathPrefix: fmt.Sprintf("/%d/", i), MaxAttempts: 2})
		}
		return c
	}
	shifted := faulty(3)
	shifted.Routes = append(shifted.Routes[:1], shifted.Routes[2:]...)
	for i, c := range []struct {
		config       *routing.Config
		added, total int
	}{{valid(), 0, 0}, {faulty(3), 5, 6}, {shifted, 0, 0}, {faulty(4), 2, 2}, {valid(), 0, 0}, {faulty(1), 2, 2}} {
		added, total := h.Added(c.config, 5)
		if len(added) != c.added || total != c.total {
			t.Errorf("version %d: got %v of %d, want %d of %d", i, added, total, c.added, c.total)
		}
		if i == 1 && (added[2].Severity != "error" || added[3].Severity != "warning") {
			t.Errorf("the errors are not first: %v", added)
		}
	}
}

// TestAnyConfiguration guards against a panic, and against a difference of a configuration from itself.
func TestAnyConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, other := rapid.Make[routing.Config]().Draw(t, "config"), rapid.Make[routing.Config]().Draw(t, "other")
		Each(&c, func(Finding) {})
		Differences(&c, &other)
		if list := Differences(&c, &c); len(list) > 0 {
			t.Fatalf("differences from itself: %v", list)
		}
	})
}

// TestPlacesOfDifferences guards against the place of another entry.
func TestPlacesOfDifferences(t *testing.T) {
	config := valid()
	config.Workspaces[1].Rate, config.Routes = 1, config.Routes[:1]
	var got []Place
	for _, d := range Differences(valid(), config) {
		got = append(got, d.Place)
	}
	if want := []Place{{Kind: KindRoute, Index: 1, Name: "r1"}, {Kind: KindWorkspace, Index: 1, Name: "w1"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// BenchmarkAdded checks 3,000 routes, 300 services and 1,000 workspaces as an instance does when a version comes into force:
// without faults, and with a finding for each route that the previous version has, too.
func BenchmarkAdded(b *testing.B) {
	for _, faulty := range []bool{false, true} {
		c := &routing.Config{}
		for i := range 300 {
			c.Services = append(c.Services, routing.Service{Name: fmt.Sprint("service-", i)})
		}
		for i := range 1000 {
			c.Workspaces = append(c.Workspaces, routing.Workspace{Name: fmt.Sprint("workspace-", i), Keys: []string{fmt.Sprint("key-", i)}})
		}
		for i := range 3000 {
			r := routing.Route{Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host-%d.example", i/10), PathPrefix: fmt.Sprintf("/path-%d/", i),
				Targets: []routing.Target{{Service: fmt.Sprint("service-", i%300), Weight: 1}}, MaxAttempts: 1, Kind: routing.Idempotent}
			if faulty {
				r.Timeout, r.TargetLatency = time.Second, 2*time.Second
			}
			c.Routes = append(c.Routes, r)
		}
		b.Run(fmt.Sprint("faulty=", faulty), func(b *testing.B) {
			b.ReportAllocs()
			var h History
			h.Added(c, 20)
			for b.Loop() {
				if _, n := h.Added(c, 20); n != 0 || faulty != (len(h.known) == 3000) {
					b.Fatalf("%d new findings of %d", n, len(h.known))
				}
			}
		})
	}
}
