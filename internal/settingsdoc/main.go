// Command settingsdoc prints docs/settings.md from the settings types, their comments and their defaults.
// Run it in the root of the repository:
//
//	go run ./internal/settingsdoc > docs/settings.md
package main

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/daemon"
)

// sourceFile holds the types, relative to the root of the repository.
const sourceFile = "internal/daemon/settings.go"

// noDefault marks, in a comment, a field that must be present although DefaultSettings fills it in.
const noDefault = "No default."

const intro = `# Settings

This page is generated from the types in ` + "`" + sourceFile + "`" + ` by ` + "`go run ./internal/settingsdoc`" + `.

` + "`turmericd --settings FILE`" + ` reads the settings of one instance from a JSON file. Unknown fields are refused, and
all faults are reported at once with their JSON path. ` + "`turmericd --check --settings FILE`" + ` only checks, and
` + "`turmericd --print-defaults`" + ` prints every default. The certificates' files are read at the start and again when
they change; a change of any other setting needs a restart.

Fields of a list's entries are written with ` + "`[]`" + `. A field without a default is empty when it is left out.

| field | type | default | meaning |
|---|---|---|---|
`

func main() {
	text, err := page(sourceFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
	fmt.Print(text)
}

// page returns the text of the page.
func page(source string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.ParseComments)
	if err != nil {
		return "", trace.Wrap(err)
	}
	types := map[string]*ast.StructType{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if s, ok := spec.Type.(*ast.StructType); ok {
				types[spec.Name.Name] = s
			}
		}
		return true
	})
	data, err := json.Marshal(daemon.DefaultSettings())
	if err != nil {
		return "", trace.Wrap(err)
	}
	var defaults map[string]any
	if err := json.Unmarshal(data, &defaults); err != nil {
		return "", trace.Wrap(err)
	}
	w := writer{types: types}
	w.WriteString(intro)
	err = w.fields("Settings", "", defaults)
	return w.String(), err
}

type writer struct {
	strings.Builder
	types map[string]*ast.StructType
}

// fields writes a line for each field of a type and of the types inside it.
func (w *writer) fields(typeName, prefix string, defaults map[string]any) error {
	s := w.types[typeName]
	if s == nil {
		return trace.NotFound("type %s is not in the file", typeName)
	}
	for _, f := range s.Fields.List {
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		kind, inner := typeOf(f.Type)
		path := prefix + name
		comment := strings.Join(strings.Fields(f.Doc.Text()), " ")
		if comment == "" {
			return trace.BadParameter("the field %s has no comment", path)
		}
		value := ""
		if v, ok := defaults[name]; ok && inner == "" && !strings.Contains(comment, noDefault) {
			data, err := json.Marshal(v)
			if err != nil {
				return trace.Wrap(err)
			}
			value = "`" + string(data) + "`"
		}
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", path, kind, value, strings.ReplaceAll(comment, "|", "\\|"))
		if inner == "" {
			continue
		}
		separator := "."
		if kind == "list" {
			separator = "[]."
		}
		below, _ := defaults[name].(map[string]any)
		if err := w.fields(inner, path+separator, below); err != nil {
			return err
		}
	}
	return nil
}

// typeOf returns the JSON kind of a field, and the name of the type inside it if that is a struct.
func typeOf(e ast.Expr) (kind, inner string) {
	switch t := e.(type) {
	case *ast.ArrayType:
		_, inner = typeOf(t.Elt)
		return "list", inner
	case *ast.Ident:
		switch t.Name {
		case "string":
			return "text", ""
		case "int":
			return "whole number", ""
		case "bool":
			return "true or false", ""
		default:
			return "object", t.Name
		}
	default:
		return "value", ""
	}
}
