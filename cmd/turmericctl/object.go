package main

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
)

// objectKind says which objects a group of commands works on.
type objectKind struct {
	app  *app
	kind config.Kind
	// field is the document's field that holds the objects.
	field string
}

// objectCommands are the commands on the objects of one kind.
type objectCommands struct {
	Get    objectGet    `command:"get" description:"print one object, or all"`
	Put    objectPut    `command:"put" description:"store one object"`
	Delete objectDelete `command:"delete" description:"delete one object"`
}

func (a *app) objects(kind config.Kind, field string) *objectCommands {
	k := objectKind{a, kind, field}
	return &objectCommands{Get: objectGet{of: k}, Put: objectPut{of: k}, Delete: objectDelete{of: k}}
}

// stored returns the objects in a document by id.
func (k objectKind) stored(d config.Document) (map[string]json.RawMessage, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, trace.Wrap(err)
	}
	var objects map[string]json.RawMessage
	err = json.Unmarshal(fields[k.field], &objects)
	return objects, trace.Wrap(err)
}

type objectGet struct {
	of objectKind
	jsonFlag
	Args struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *objectGet) Execute([]string) error {
	current, err := c.of.app.current()
	if err != nil {
		return err
	}
	objects, err := c.of.stored(current.Document)
	if err != nil {
		return err
	}
	if c.Args.ID != "" {
		object, ok := objects[c.Args.ID]
		if !ok {
			return trace.NotFound("%s %q does not exist at version %d", c.of.kind, c.Args.ID, current.Version)
		}
		return c.of.app.printJSON(object)
	}
	if c.JSON {
		return c.of.app.printJSON(objects)
	}
	for _, id := range slices.Sorted(maps.Keys(objects)) {
		c.of.app.printf(c.of.app.stdout, "%s  %s\n", id, objects[id])
	}
	return nil
}

type objectPut struct {
	of objectKind
	jsonFlag
	fileFlag
	changeFlags
	Args struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *objectPut) Execute([]string) error {
	data, err := c.of.app.read(c.File)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return trace.BadParameter("%s is not valid JSON", c.File)
	}
	return c.of.app.single(config.Operation{Op: config.OpPut, Kind: c.of.kind, ID: c.Args.ID, Value: data}, c.changeFlags, c.JSON)
}

type objectDelete struct {
	of objectKind
	jsonFlag
	changeFlags
	Args struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *objectDelete) Execute([]string) error {
	current, err := c.of.app.current()
	if err != nil {
		return err
	}
	objects, err := c.of.stored(current.Document)
	if err != nil {
		return err
	}
	// A repeated deletion has an id; its object may be gone already.
	if _, ok := objects[c.Args.ID]; !ok && c.ID == "" {
		return trace.NotFound("%s %q does not exist at version %d", c.of.kind, c.Args.ID, current.Version)
	}
	return c.of.app.single(config.NewDelete(c.of.kind, c.Args.ID), c.changeFlags, c.JSON)
}

// single carries out one operation on the version given by flag, or else the one in force.
func (a *app) single(o config.Operation, flags changeFlags, asJSON bool) error {
	var base config.Version
	if flags.Base == nil {
		current, err := a.current()
		if err != nil {
			return err
		}
		base = current.Version
	}
	answer, err := a.change(flags.or(base), flags, []config.Operation{o})
	if err != nil {
		return err
	}
	return a.report(answer, asJSON)
}

// createAttempts is how often the creation of a key is tried when other changes are accepted first. A
// new key conflicts with none of them.
const createAttempts = 5

type keysCreate struct {
	app *app
	jsonFlag
	Workspace string `long:"workspace" required:"true" description:"owner of the key"`
	Author    string `long:"author" env:"USER" description:"name recorded with the change"`
}

// Execute implements flags.Commander.
func (c *keysCreate) Execute([]string) error {
	k, err := keys.Generate()
	if err != nil {
		return trace.Wrap(err)
	}
	o, err := config.NewPut(config.KindKey, k.ID, config.Key{Workspace: c.Workspace, Hash: k.Hash})
	if err != nil {
		return trace.Wrap(err)
	}
	var answer admin.ChangeResponse
	for range createAttempts {
		var current admin.ConfigResponse
		if current, err = c.app.current(); err != nil {
			return err
		}
		answer, err = c.app.change(current.Version, changeFlags{Author: c.Author}, []config.Operation{o})
		if err == nil {
			return c.app.printKey(madeKey{ID: k.ID, Secret: k.Secret, Hash: k.Hash, Version: answer.Version}, c.JSON)
		}
		if !trace.IsCompareFailed(err) {
			return err
		}
	}
	return err
}

type keysWithdraw struct {
	app *app
	jsonFlag
	Author string `long:"author" env:"USER" description:"name recorded with the change"`
	Args   struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *keysWithdraw) Execute([]string) error {
	if id, ok := keys.ID(c.Args.ID); ok {
		c.Args.ID = id
	}
	current, err := c.app.current()
	if err != nil {
		return err
	}
	if _, ok := current.Document.Keys[c.Args.ID]; !ok {
		return trace.NotFound("key %q does not exist at version %d", c.Args.ID, current.Version)
	}
	answer, err := c.app.change(current.Version, changeFlags{Author: c.Author}, []config.Operation{config.NewDelete(config.KindKey, c.Args.ID)})
	if err != nil {
		return err
	}
	return c.app.report(answer, c.JSON)
}

type keysList struct {
	app *app
	jsonFlag
	Workspace string `long:"workspace" description:"only keys of this workspace"`
}

// Execute implements flags.Commander.
func (c *keysList) Execute([]string) error {
	current, err := c.app.current()
	if err != nil {
		return err
	}
	found := current.Document.Keys
	maps.DeleteFunc(found, func(_ string, k config.Key) bool { return c.Workspace != "" && k.Workspace != c.Workspace })
	if c.JSON {
		return c.app.printJSON(found)
	}
	for _, id := range slices.Sorted(maps.Keys(found)) {
		c.app.printf(c.app.stdout, "%s  %s\n", id, found[id].Workspace)
	}
	return nil
}
