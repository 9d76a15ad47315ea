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

// objectKind identifies the objects that a group of commands operates on.
type objectKind struct {
	app  *app
	kind config.Kind
	// field is the JSON field of the document that contains the objects.
	field string
}

// objectCommands holds the commands for objects of one kind.
type objectCommands struct {
	Get    objectGet    `command:"get" description:"print one object, or all"`
	Put    objectPut    `command:"put" description:"store one object"`
	Delete objectDelete `command:"delete" description:"delete one object"`
}

func (a *app) objects(kind config.Kind, field string) *objectCommands {
	k := objectKind{a, kind, field}
	return &objectCommands{Get: objectGet{target: k}, Put: objectPut{target: k}, Delete: objectDelete{target: k}}
}

// objectsIn returns the objects of this kind in a document, keyed by id.
func (k objectKind) objectsIn(d config.Document) (map[string]json.RawMessage, error) {
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
	target objectKind
	jsonFlag
	Args struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *objectGet) Execute([]string) error {
	current, err := c.target.app.currentConfig()
	if err != nil {
		return err
	}
	objects, err := c.target.objectsIn(current.Document)
	if err != nil {
		return err
	}
	if c.Args.ID != "" {
		object, ok := objects[c.Args.ID]
		if !ok {
			return trace.NotFound("%s %q does not exist at version %d", c.target.kind, c.Args.ID, current.Version)
		}
		return c.target.app.printJSON(object)
	}
	if c.JSON {
		return c.target.app.printJSON(objects)
	}
	for _, id := range slices.Sorted(maps.Keys(objects)) {
		c.target.app.printf(c.target.app.stdout, "%s  %s\n", id, objects[id])
	}
	return nil
}

type objectPut struct {
	target objectKind
	jsonFlag
	fileFlag
	changeFlags
	Args struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *objectPut) Execute([]string) error {
	data, err := c.target.app.readInput(c.File)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return trace.BadParameter("%s is not valid JSON", c.File)
	}
	return c.target.app.submitOperation(config.Operation{Op: config.OpPut, Kind: c.target.kind, ID: c.Args.ID, Value: data}, c.changeFlags, c.JSON)
}

type objectDelete struct {
	target objectKind
	jsonFlag
	changeFlags
	Args struct {
		ID string `positional-arg-name:"id"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *objectDelete) Execute([]string) error {
	current, err := c.target.app.currentConfig()
	if err != nil {
		return err
	}
	objects, err := c.target.objectsIn(current.Document)
	if err != nil {
		return err
	}
	// A deletion with --id repeats an earlier one, which may have deleted the object already.
	if _, ok := objects[c.Args.ID]; !ok && c.ID == "" {
		return trace.NotFound("%s %q does not exist at version %d", c.target.kind, c.Args.ID, current.Version)
	}
	return c.target.app.submitOperation(config.NewDelete(c.target.kind, c.Args.ID), c.changeFlags, c.JSON)
}

// submitOperation submits a change of one operation, based on the version given by --base or else on the version in
// force.
func (a *app) submitOperation(o config.Operation, flags changeFlags, asJSON bool) error {
	var base config.Version
	if flags.Base == nil {
		current, err := a.currentConfig()
		if err != nil {
			return err
		}
		base = current.Version
	}
	response, err := a.submitChange(flags.baseOr(base), flags, []config.Operation{o})
	if err != nil {
		return err
	}
	return a.printChange(response, asJSON)
}

// maxCreateAttempts limits the attempts to create a key while other changes are accepted first. The key can be resubmitted
// unchanged, since a new key conflicts with no other change.
const maxCreateAttempts = 5

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
	var response admin.ChangeResponse
	for range maxCreateAttempts {
		var current admin.ConfigResponse
		if current, err = c.app.currentConfig(); err != nil {
			return err
		}
		response, err = c.app.submitChange(current.Version, changeFlags{Author: c.Author}, []config.Operation{o})
		if err == nil {
			return c.app.printKey(keyOutput{ID: k.ID, Secret: k.Secret, Hash: k.Hash, Version: response.Version}, c.JSON)
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
	current, err := c.app.currentConfig()
	if err != nil {
		return err
	}
	if _, ok := current.Document.Keys[c.Args.ID]; !ok {
		return trace.NotFound("key %q does not exist at version %d", c.Args.ID, current.Version)
	}
	response, err := c.app.submitChange(current.Version, changeFlags{Author: c.Author}, []config.Operation{config.NewDelete(config.KindKey, c.Args.ID)})
	if err != nil {
		return err
	}
	return c.app.printChange(response, c.JSON)
}

type keysList struct {
	app *app
	jsonFlag
	Workspace string `long:"workspace" description:"only keys of this workspace"`
}

// Execute implements flags.Commander.
func (c *keysList) Execute([]string) error {
	current, err := c.app.currentConfig()
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
