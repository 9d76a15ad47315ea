package main

import (
	"bytes"
	"testing"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Guards against an example configuration that does not pass validation or has the wrong number of objects.
func TestOutputIsValid(t *testing.T) {
	var out bytes.Buffer
	if err := build().Print(&out); err != nil {
		t.Fatal(err)
	}
	d, err := config.ParseDocument(out.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	count := map[config.BackendKind]int{}
	for _, s := range d.BackendServers {
		count[s.Kind]++
	}
	if len(d.Adapters) != 3000 || len(d.Workspaces) != 5 || count[config.KindEngine] != 9 || count[config.KindService] != 3 {
		t.Errorf("wrong size: %d adapters, %d workspaces, servers %v", len(d.Adapters), len(d.Workspaces), count)
	}
}
