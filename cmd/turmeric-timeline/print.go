package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/state/event"
)

// timeLayout has a resolution of 1 ms, that of the hybrid logical clock.
const timeLayout = "2006-01-02T15:04:05.000Z"

//go:embed timeline.html
var pageHTML string

var pageTemplate = template.Must(template.New("timeline").Parse(pageHTML))

func render(w io.Writer, format string, events []event.Event) error {
	switch format {
	case "json":
		if events == nil {
			events = []event.Event{}
		}
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return trace.Wrap(e.Encode(events))
	case "html":
		return trace.Wrap(pageTemplate.Execute(w, newPage(events)))
	default:
		return renderText(w, events)
	}
}

func renderText(w io.Writer, events []event.Event) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range events {
		e := &events[i]
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", e.HLC.Time().UTC().Format(timeLayout), quoteIfUnsafe(e.DataCentre),
			quoteIfUnsafe(e.Instance), quoteIfUnsafe(string(e.Kind)), details(e)); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(t.Flush())
}

// quoteIfUnsafe quotes an identifier whose characters would break the layout or act as terminal control codes.
func quoteIfUnsafe(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r >= 0x7f && r < 0xa0 }) {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// details returns the non-zero fields of the event as name=value pairs separated by spaces.
func details(e *event.Event) string {
	var b strings.Builder
	add := func(name, value string) {
		if value == "" {
			return
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(name + "=" + quoteIfUnsafe(value))
	}
	number := func(name string, n int64) {
		if n != 0 {
			add(name, fmt.Sprint(n))
		}
	}
	add("request", e.RequestID)
	add("workspace", e.Workspace)
	add("adapter", e.Adapter)
	add("version", e.Version)
	add("engine", e.Engine)
	add("peer", e.Peer)
	add("code", e.Code)
	if e.Verdict != 0 {
		add("verdict", e.Verdict.String())
	}
	number("attempt", int64(e.Attempt))
	number("tokens", e.Tokens)
	number("parts", e.Parts)
	if e.Fence != 0 {
		add("fence", fmt.Sprint(e.Fence))
	}
	if e.Sequence != 0 {
		add("sequence", fmt.Sprint(e.Sequence))
	}
	if e.Duration != 0 {
		add("duration", e.Duration.Round(time.Microsecond).String())
	}
	return b.String()
}

// page is the template data of the HTML page, which has one row per event and one column per instance.
type page struct {
	Instances []column
	Rows      []row
}

type column struct {
	Instance   string
	DataCentre string
}

type row struct {
	Time string
	HLC  string
	// Before and After have one element for each empty cell left and right of the event.
	Before, After []struct{}
	Kind          string
	Details       string
}

func newPage(events []event.Event) page {
	var p page
	for i := range events {
		c := column{events[i].Instance, events[i].DataCentre}
		if !slices.Contains(p.Instances, c) {
			p.Instances = append(p.Instances, c)
		}
	}
	slices.SortFunc(p.Instances, func(a, b column) int {
		return strings.Compare(a.DataCentre+"\x00"+a.Instance, b.DataCentre+"\x00"+b.Instance)
	})
	for i := range events {
		e := &events[i]
		at := slices.Index(p.Instances, column{e.Instance, e.DataCentre})
		p.Rows = append(p.Rows, row{
			Time: e.HLC.Time().UTC().Format(timeLayout), HLC: e.HLC.String(),
			Before: make([]struct{}, at), After: make([]struct{}, len(p.Instances)-at-1),
			Kind: string(e.Kind), Details: details(e),
		})
	}
	return p
}
