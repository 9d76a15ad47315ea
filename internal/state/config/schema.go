package config

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// CheckJSON checks JSON data against a JSON schema, which decides about unknown fields, and refuses
// repeated fields. The error is of type Problems if the data is valid JSON and the schema compiles.
func CheckJSON(data, schema []byte) error {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return trace.Wrap(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", parsed); err != nil {
		return trace.Wrap(err)
	}
	compiled, err := c.Compile("schema.json")
	if err != nil {
		return trace.Wrap(err)
	}
	return checkAgainstSchema(data, compiled)
}
