package main

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/keys"
)

type jsonFlag struct {
	JSON bool `long:"json" description:"print JSON"`
}

type fileFlag struct {
	File string `short:"f" long:"file" required:"true" description:"JSON document, or - for the standard input"`
}

// keysFlag makes changes of keys opt-in: otherwise publishing an old document would put withdrawn keys in force again
// and withdraw the keys created since.
type keysFlag struct {
	Keys bool `long:"keys" description:"also put in force and withdraw keys as the document says"`
}

// keygen generates a key locally, without a request to an instance.
type keygen struct {
	app *app
	jsonFlag
}

// keyOutput is the output of the commands keygen and keys create.
type keyOutput struct {
	ID      string         `json:"id"`
	Secret  string         `json:"secret"`
	Hash    string         `json:"hash"`
	Version config.Version `json:"version,omitempty"`
}

// Execute implements flags.Commander.
func (c *keygen) Execute([]string) error {
	k, err := keys.Generate()
	if err != nil {
		return trace.Wrap(err)
	}
	return c.app.printKey(keyOutput{ID: k.ID, Secret: k.Secret, Hash: k.Hash}, c.JSON)
}

func (a *app) printKey(k keyOutput, asJSON bool) error {
	if asJSON {
		return a.printJSON(k)
	}
	a.printf(a.stdout, "id      %s\nsecret  %s\nhash    %s\n", k.ID, k.Secret, k.Hash)
	a.printf(a.stderr, "The secret is not stored and cannot be shown again.\n")
	return nil
}

type validate struct {
	app *app
	jsonFlag
	fileFlag
}

// Execute implements flags.Commander.
func (c *validate) Execute([]string) error {
	_, err := c.app.readDocument(c.File)
	problems := config.ProblemsOf(err)
	if c.JSON && (err == nil || problems != nil) {
		list := append(config.Problems{}, problems...)
		if printErr := c.app.printJSON(map[string]any{"valid": err == nil, "problems": list}); printErr != nil {
			return printErr
		}
		return err
	}
	if err == nil {
		c.app.printf(c.app.stdout, "valid\n")
	}
	return err
}

// readDocument reads and validates a document.
func (a *app) readDocument(file string) (config.Document, error) {
	data, err := a.readInput(file)
	if err != nil {
		return config.Document{}, err
	}
	return config.ParseDocument(data)
}

// diffOperations returns the operations that turn the current document into the desired one, without those on keys
// unless withKeys is set.
func diffOperations(current, desired config.Document, withKeys bool) ([]config.Operation, error) {
	ops, err := config.Diff(current, desired)
	if !withKeys {
		ops = slices.DeleteFunc(ops, func(o config.Operation) bool { return o.Kind == config.KindKey })
	}
	return ops, trace.Wrap(err)
}

type diff struct {
	app *app
	jsonFlag
	fileFlag
	keysFlag
}

// Execute implements flags.Commander.
func (c *diff) Execute([]string) error {
	desired, err := c.app.readDocument(c.File)
	if err != nil {
		return err
	}
	current, err := c.app.currentConfig()
	if err != nil {
		return err
	}
	ops, err := diffOperations(current.Document, desired, c.Keys)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(map[string]any{"base": current.Version, "operations": append([]config.Operation{}, ops...)})
	}
	for _, o := range ops {
		c.app.printf(c.app.stdout, "%-6s  %s  %s\n", o.Op, o.Kind, strings.TrimSpace(o.ID+"  "+string(o.Value)))
	}
	return nil
}

type publish struct {
	app *app
	jsonFlag
	fileFlag
	keysFlag
	changeFlags
}

// Execute implements flags.Commander.
func (c *publish) Execute([]string) error {
	desired, err := c.app.readDocument(c.File)
	if err != nil {
		return err
	}
	current, err := c.app.currentConfig()
	if err != nil {
		return err
	}
	ops, err := diffOperations(current.Document, desired, c.Keys)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		c.app.printf(c.app.stderr, "version %d is the same, nothing to publish\n", current.Version)
		return nil
	}
	response, err := c.app.submitChange(c.baseOr(current.Version), c.changeFlags, ops)
	if err != nil {
		return err
	}
	return c.app.printChange(response, c.JSON)
}

type get struct {
	app *app
	jsonFlag
}

// Execute implements flags.Commander.
func (c *get) Execute([]string) error {
	current, err := c.app.currentConfig()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(current)
	}
	c.app.printf(c.app.stderr, "version %d\n", current.Version)
	return c.app.printJSON(current.Document)
}

type status struct {
	app *app
	jsonFlag
}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	client, ctx, done, err := c.app.client()
	if err != nil {
		return err
	}
	defer done()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.printJSON(s)
	}
	c.app.printf(c.app.stdout, "%-20s  %-12s  %8s  %-5s  %-5s  %s\n", "instance", "data centre", "version", "ready", "lease", "incarnation")
	for _, i := range s.Instances {
		c.app.printf(c.app.stdout, "%-20s  %-12s  %8d  %-5t  %-5t  %s\n", i.ID, i.DataCentre, i.ConfigVersion, i.Ready, i.LeaseValid, i.Incarnation)
	}
	return nil
}
