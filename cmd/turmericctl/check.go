package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/findings"
	"github.com/turmericworks/turmericworks/platform"
)

// check reports on a document before it is published, from files alone.
type check struct {
	app *app
	jsonFlag
	fileFlag
	InForce string `long:"in-force" description:"JSON document of the configuration in force, as printed by get, to compare with"`
	Gateway bool   `long:"gateway" description:"the documents are values of the record config that turmeric-gateway reads, not documents of turmericd"`
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	if c.File == "-" && c.InForce == "-" {
		return usageError("only one document can be read from the standard input")
	}
	data, err := c.app.readInput(c.File)
	if err != nil {
		return err
	}
	report, err := c.report(data)
	if err != nil {
		return err
	}
	if c.JSON {
		err = c.app.printJSON(report)
	} else {
		c.print(report)
	}
	if err != nil || report.Valid {
		return err
	}
	return trace.BadParameter("%s has errors", c.File)
}

// report checks a document by the rules of the program that reads it.
func (c *check) report(data []byte) (findings.Report, error) {
	if !c.Gateway {
		var inForce *config.Document
		if c.InForce != "" {
			var err error
			if inForce, err = c.readInForce(); err != nil {
				return findings.Report{}, err
			}
		}
		return config.CheckFile(data, inForce)
	}
	var inForce []byte
	if c.InForce != "" {
		var err error
		if inForce, err = c.app.readInput(c.InForce); err != nil {
			return findings.Report{}, err
		}
	}
	return platform.CheckConfig(data, inForce)
}

// readInForce reads the document to compare with, in the form that get prints with or without --json.
func (c *check) readInForce() (*config.Document, error) {
	data, err := c.app.readInput(c.InForce)
	if err != nil {
		return nil, err
	}
	text := data
	var response struct {
		Version  *config.Version `json:"version"`
		Document json.RawMessage `json:"document"`
	}
	if json.Unmarshal(data, &response) == nil && response.Version != nil && response.Document != nil {
		// The blank lines keep the line numbers those of the file.
		before := bytes.Count(data[:bytes.Index(data, response.Document)], []byte("\n"))
		text = append(bytes.Repeat([]byte("\n"), before), response.Document...)
	}
	d, err := config.ParseDocument(text)
	if err == nil {
		return &d, nil
	}
	var lines []string
	for _, f := range config.Locate(text, err) {
		lines = append(lines, formatFinding(c.InForce, f))
	}
	return nil, trace.BadParameter("the configuration in force can't be used:\n%s", strings.Join(lines, "\n"))
}

func formatFinding(file string, f findings.Finding) string {
	return fmt.Sprintf("%s:%d: %s: %s: %s", file, max(f.Line, 1), f.Severity, cmp.Or(f.Path, "/"), f.Message)
}

// print prints a report as text: first the findings, then the differences.
func (c *check) print(r findings.Report) {
	out := c.app.stdout
	for _, f := range r.Findings {
		c.app.printf(out, "%s\n", formatFinding(c.File, f))
	}
	keys := false
	for _, d := range r.Differences {
		keys = keys || !c.Gateway && d.Kind == string(config.KindKey)
		c.app.printf(out, "%-6s  %s %s: %s\n", d.Action, d.Kind, d.ID, d.Words)
	}
	switch {
	case c.InForce != "" && !r.Compared:
		c.app.printf(out, "not compared with %s, because instances would refuse the document\n", c.InForce)
	case r.Compared && len(r.Differences) == 0:
		c.app.printf(out, "no difference from %s\n", c.InForce)
	case keys:
		c.app.printf(out, "changes of keys take effect with publish --keys only\n")
	}
	if len(r.Findings) == 0 {
		c.app.printf(out, "valid\n")
	}
}
