// Command settingsdoc generates docs/settings.md from the settings types, their comments and their defaults,
// and prints it. Run it in the root of the repository:
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

// sourceFile is the file that declares the types, relative to the root of the repository.
const sourceFile = "internal/daemon/settings.go"

// noDefault, in the comment of a field, says that the field must be set although DefaultSettings returns a value
// for it.
const noDefault = "No default."

const intro = `# Settings

This page is generated from the types in ` + "`" + sourceFile + "`" + ` by ` + "`go run ./internal/settingsdoc`" + `.

` + "`turmericd --settings FILE`" + ` reads the settings of one instance from a JSON file. Unknown fields are rejected, and
all errors are reported together, each with its JSON path. ` + "`turmericd --check --settings FILE`" + ` only checks it, and
` + "`turmericd --print-defaults`" + ` prints the default settings. Certificate files are read at startup and again when
they change; a change of any other setting requires a restart.

Fields of list entries are written with ` + "`[]`" + `. A field without a default is empty if it is omitted.

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

// page returns the text of the page for the types in the file source.
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

// writer writes the table of fields.
type writer struct {
	strings.Builder
	types map[string]*ast.StructType
}

// fields writes a row for each field of a type and, recursively, of the struct types of its fields. Paths begin
// with prefix; defaults holds the default values of the type's fields.
func (w *writer) fields(typeName, prefix string, defaults map[string]any) error {
	s := w.types[typeName]
	if s == nil {
		return trace.NotFound("type %s is not declared in the source file", typeName)
	}
	for _, f := range s.Fields.List {
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		kind, structName := typeOf(f.Type)
		path := prefix + name
		comment := strings.Join(strings.Fields(f.Doc.Text()), " ")
		if comment == "" {
			return trace.BadParameter("field %s has no comment", path)
		}
		value := ""
		if v, ok := defaults[name]; ok && structName == "" && !strings.Contains(comment, noDefault) {
			data, err := json.Marshal(v)
			if err != nil {
				return trace.Wrap(err)
			}
			value = "`" + string(data) + "`"
		}
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", path, kind, value, strings.ReplaceAll(comment, "|", "\\|"))
		if structName == "" {
			continue
		}
		separator := "."
		if kind == "list" {
			separator = "[]."
		}
		nested, _ := defaults[name].(map[string]any)
		if err := w.fields(structName, path+separator, nested); err != nil {
			return err
		}
	}
	return nil
}

// typeOf returns the JSON type of a field, and the name of the struct type of the field or of its elements, if any.
func typeOf(e ast.Expr) (kind, structName string) {
	switch t := e.(type) {
	case *ast.ArrayType:
		_, structName = typeOf(t.Elt)
		return "list", structName
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
