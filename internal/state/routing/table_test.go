package routing

import (
	"encoding/json"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestMatch guards the choice of a route: the longest matching prefix among the routes of the host wins, and a request
// that matches no prefix has no route.
func TestMatch(t *testing.T) {
	table := Compile(Config{Version: 3, Routes: []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"A.example:80", "/x/y/1", "long"}, {"a.example", "/x/y/z/1", "long"},
		{"a.example", "/x", ""}, {"a.example", "/", ""}, {"c.example", "/x/1", ""},
	}
	Convey("the route with the longest matching prefix is found", t, func() {
		for _, c := range cases {
			name := ""
			if r, ok := table.Match(c.host, c.path); ok {
				name = r.Name
			}
			So(name, ShouldEqual, c.want)
		}
	})
}

// TestWorkspaceByKey guards the lookup of a workspace by its key.
func TestWorkspaceByKey(t *testing.T) {
	Convey("only a configured key identifies a workspace", t, func() {
		table := Compile(Config{Workspaces: []Workspace{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}})
		w, ok := table.WorkspaceByKey("k2")
		So(ok, ShouldBeTrue)
		So(w.Name, ShouldEqual, "one")
		_, ok = table.WorkspaceByKey("")
		So(ok, ShouldBeFalse)
	})
}

// TestConfigAsJSON guards the configuration that instances hand on to each other as JSON: a field that gets lost would
// stay lost at the receiver, which takes the same version from no one else.
func TestConfigAsJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.Make[Config]().Draw(t, "config")
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var got Config
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, c) {
			t.Fatalf("%+v became %+v", c, got)
		}
	})
}

// TestAdapterRoom guards against workers that are told to hold more adapters than their memory has room for.
func TestAdapterRoom(t *testing.T) {
	Convey("the slots, the memory, and the models that a worker holds bound its adapters", t, func() {
		models := []Model{{Name: "m", WeightsMB: 34_300, AdapterMB: 40}, {Name: "n", WeightsMB: 200, AdapterMB: 0.1}}
		for _, c := range []struct {
			memory float64
			model  string
			holds  []string
			room   int
		}{
			{35_700, "m", nil, 18}, {34_620, "m", nil, 8}, {34_619, "m", []string{"m"}, 7}, {34_620, "m", []string{"n"}, 3},
			{34_300, "m", nil, 0}, {34_299, "m", nil, -1}, {0, "m", nil, 18}, {200.3, "n", nil, 3}, {34_620, "unknown", nil, 18},
		} {
			e := Engine{WeightsMB: c.memory, AdapterSlots: 18, Models: models}
			So(e.AdapterRoom(c.model, c.holds), ShouldEqual, c.room)
		}
	})
}
