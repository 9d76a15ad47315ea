package config

import (
	"bytes"
	_ "embed" // embeds schema.json
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"github.com/santhosh-tekuri/jsonschema/v6"
	schemakind "github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/turmericworks/turmericworks/internal/state/findings"
)

//go:embed schema.json
var schemaText []byte

const schemaName = "config.json"

// Problem is one problem found in a document or in a list of operations.
type Problem struct {
	// Path is the JSON pointer (RFC 6901) of the invalid value.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Problems is an error that lists all problems found, ordered by path.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Path + ": " + problem.Message
	}
	return strings.Join(lines, "\n")
}

// ProblemsOf returns the Problems in err's chain, or nil.
func ProblemsOf(err error) Problems {
	var p Problems
	if errors.As(err, &p) {
		return p
	}
	return nil
}

// ParseDocument decodes and checks a document. Unknown and repeated fields are refused. The error
// is of type Problems if the data is valid JSON.
func ParseDocument(data []byte) (Document, error) {
	var d Document
	err := checkAgainstSchema(data, documentSchema())
	schemaProblems := ProblemsOf(err)
	if err != nil && schemaProblems == nil {
		return d, err
	}
	// json.Unmarshal decodes the rest of the document after a type error, so its references can be checked.
	if err := json.Unmarshal(data, &d); err != nil && schemaProblems == nil {
		return d, Problems{{Message: err.Error()}}
	}
	return d, checkReferences(d, schemaProblems)
}

// CheckDocument checks a document's values and cross-references. The error is of type Problems if the
// document can be encoded as JSON.
func CheckDocument(d Document) error {
	data, err := json.Marshal(d)
	if err != nil {
		return trace.BadParameter("encoding the document: %v", err)
	}
	err = checkAgainstSchema(data, documentSchema())
	schemaProblems := ProblemsOf(err)
	if err != nil && schemaProblems == nil {
		return err
	}
	return checkReferences(d, schemaProblems)
}

// checkReferences checks a document's IDs and cross-references. It returns the problems found together
// with those that the schema check found.
func checkReferences(d Document, schemaProblems Problems) error {
	c := checker{view: ViewOf(0, d)}
	c.checkFleet("/fleet")
	checkObjects(&c, "workspaces", KindWorkspace, d.Workspaces)
	checkObjects(&c, "keys", KindKey, d.Keys)
	checkObjects(&c, "adapters", KindAdapter, d.Adapters)
	checkObjects(&c, "routes", KindRoute, d.Routes)
	checkObjects(&c, "backend_servers", KindBackendServer, d.BackendServers)
	// A value that the schema refuses is reported once, not again for references that fail because of it.
	reported := map[string]bool{}
	for _, p := range schemaProblems {
		reported[p.Path] = true
	}
	for _, p := range c.problems {
		if !reported[p.Path] {
			schemaProblems = append(schemaProblems, p)
		}
	}
	return problemsError(schemaProblems)
}

func checkObjects[T any](c *checker, field string, kind Kind, objects map[string]T) {
	for id := range objects {
		path := findings.Pointer(field, id)
		c.checkID(path, kind, id)
		c.checkObject(path, kind, id)
	}
}

// ParseOperations decodes a list of operations and checks it against the schema, but not its references.
// The error is of type Problems if the data is valid JSON.
func ParseOperations(data []byte) ([]Operation, error) {
	if err := checkAgainstSchema(data, operationsSchema()); err != nil {
		return nil, err
	}
	var ops []Operation
	if err := json.Unmarshal(data, &ops); err != nil {
		return nil, Problems{{Message: err.Error()}}
	}
	return ops, nil
}

// CheckOperations checks that operations are well formed and that applying them to v gives a valid
// configuration if v is valid. The error is of type Problems, with paths that start with the operation's
// index.
func (v *View) CheckOperations(ops []Operation) error {
	c := checker{view: v.mutableCopy()}
	before := v
	for i, o := range ops {
		path := findings.Pointer(strconv.Itoa(i))
		if !c.checkOperation(path, o) {
			continue
		}
		if err := c.view.apply(o); err != nil {
			c.addProblem(path, "%s", trace.UserMessage(err))
		}
	}
	if len(c.problems) > 0 {
		return c.err()
	}
	for i, o := range ops {
		path := findings.Pointer(strconv.Itoa(i))
		if o.Op == OpDelete {
			c.checkDeletion(path, o)
		} else {
			c.checkObject(path+"/value", o.Kind, o.ID)
		}
		if o.Kind == KindBackendServer {
			c.checkServiceStillOffered(path, before, o.ID)
		}
	}
	return c.err()
}

// checker collects the problems of the objects in view.
type checker struct {
	view *View
	// services is the set of services that backend servers offer; it is nil until it is needed.
	services map[string]bool
	problems Problems
}

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error { return problemsError(c.problems) }

// problemsError returns the problems in a fixed order, or nil if there are none. Beyond findings.Max, it
// returns only how many more there are.
func problemsError(p Problems) error {
	if len(p) == 0 {
		return nil
	}
	slices.SortFunc(p, func(a, b Problem) int {
		return strings.Compare(a.Path+"\x00"+a.Message, b.Path+"\x00"+b.Message)
	})
	p = slices.Compact(p)
	if len(p) > findings.Max {
		dropped := len(p) - findings.Max
		p = append(p[:findings.Max], Problem{Message: fmt.Sprintf("and %d more", dropped)})
	}
	return p
}

// checkOperation checks an operation against the schema of its kind and reports whether it is well formed.
func (c *checker) checkOperation(path string, o Operation) bool {
	before := len(c.problems)
	if o.Op != OpPut && o.Op != OpDelete {
		c.addProblem(path+"/op", "must be put or delete")
	}
	schema, known := objectSchemas()[o.Kind]
	if !known {
		c.addProblem(path+"/kind", "is not a kind of object")
		return false
	}
	c.checkID(path+"/id", o.Kind, o.ID)
	switch {
	case o.Op == OpDelete && len(o.Value) > 0:
		c.addProblem(path+"/value", "must be absent from a deletion")
	case o.Op == OpPut && len(o.Value) == 0:
		c.addProblem(path+"/value", "is missing")
	case o.Op == OpPut:
		err := checkAgainstSchema(o.Value, schema.value)
		for _, p := range ProblemsOf(err) {
			c.addProblem(path+"/value"+p.Path, "%s", p.Message)
		}
		if err != nil && ProblemsOf(err) == nil {
			c.addProblem(path+"/value", "%s", trace.UserMessage(err))
		}
	}
	return len(c.problems) == before
}

// checkID checks an object's ID. The schema does not use propertyNames for this, because version 6.0.3 of
// the jsonschema library reports a wrong location for it.
func (c *checker) checkID(path string, kind Kind, id string) {
	if err := objectSchemas()[kind].id.Validate(id); err != nil {
		c.addProblem(path, "is not a well-formed id of a %s", kind)
	}
}

// checkObject checks an object of the view against the others.
func (c *checker) checkObject(path string, kind Kind, id string) {
	switch kind {
	case KindFleet:
		c.checkFleet(path)
	case KindWorkspace:
		c.checkWorkspace(path, id)
	case KindKey:
		c.checkKey(path, id)
	case KindAdapter:
		c.checkAdapter(path, id)
	case KindRoute:
		c.checkRoute(path, id)
	case KindBackendServer:
		c.checkBackendServer(path, id)
	}
}

func (c *checker) checkFleet(path string) {
	w := c.view.fleet.WeightStore
	if w.MaxInFlight < w.FullSpeed {
		c.addProblem(path+"/weight_store/max_in_flight", "is less than full_speed")
	}
	for _, s := range c.view.backendServers.all() {
		if s.Kind != KindEngine {
			continue
		}
		if w.LoadsPerSecond <= 0 {
			c.addProblem(path+"/weight_store/loads_per_second", "must be positive when there are engines")
		}
		if w.FullSpeed < 1 {
			c.addProblem(path+"/weight_store/full_speed", "must be positive when there are engines")
		}
		return
	}
}

func (c *checker) checkWorkspace(path, id string) {
	w, ok := c.view.Workspace(id)
	if !ok {
		return
	}
	if w.BurstTokens < 1 {
		c.addProblem(path+"/burst_tokens", "must be at least one token")
	}
}

func (c *checker) checkOwner(path, workspace string) {
	if _, ok := c.view.Workspace(workspace); !ok {
		c.addProblem(path+"/workspace", "workspace %q does not exist", workspace)
	}
}

func (c *checker) checkKey(path, id string) {
	if k, ok := c.view.Key(id); ok {
		c.checkOwner(path, k.Workspace)
	}
}

func (c *checker) checkAdapter(path, id string) {
	a, ok := c.view.Adapter(id)
	if !ok {
		return
	}
	c.checkOwner(path, a.Workspace)
	if !slices.Contains(a.Versions, a.Default) {
		c.addProblem(path+"/default", "version %q is not among the versions", a.Default)
	}
}

func (c *checker) checkRoute(path, id string) {
	r, ok := c.view.Route(id)
	if !ok {
		return
	}
	c.checkOwner(path, r.Workspace)
	if !c.hasService(r.Service) {
		c.addProblem(path+"/service", "no backend server offers the service %q", r.Service)
	}
}

func (c *checker) hasService(name string) bool {
	if c.services == nil {
		c.services = map[string]bool{}
		for _, s := range c.view.backendServers.all() {
			if s.Kind == KindService {
				c.services[s.Service] = true
			}
		}
	}
	return c.services[name]
}

func (c *checker) checkBackendServer(path, id string) {
	s, ok := c.view.BackendServer(id)
	if !ok {
		return
	}
	if s.Kind == KindEngine {
		if s.Slots < 1 {
			c.addProblem(path+"/slots", "an engine needs at least one slot")
		}
		if s.BaseModel == "" {
			c.addProblem(path+"/base_model", "an engine needs a base model")
		}
		if s.Service != "" {
			c.addProblem(path+"/service", "an engine offers no service")
		}
		return
	}
	if s.Service == "" {
		c.addProblem(path+"/service", "a plain service needs a service name")
	}
	if s.BaseModel != "" {
		c.addProblem(path+"/base_model", "a plain service has no base model")
	}
	if s.Slots != 0 {
		c.addProblem(path+"/slots", "a plain service has no slots")
	}
	if s.ChecksFence || s.EvictsOnlyIdle {
		c.addProblem(path, "checks_fence and evicts_only_idle apply to engines only")
	}
}

// checkDeletion checks that a deleted workspace owns no remaining object.
func (c *checker) checkDeletion(path string, o Operation) {
	if _, recreated := c.view.Workspace(o.ID); o.Kind != KindWorkspace || recreated {
		return
	}
	for name := range c.view.AdaptersOf(o.ID) {
		c.addProblem(path, "workspace %q still owns the adapter %q", o.ID, name)
		break
	}
	for id, k := range c.view.keys.all() {
		if k.Workspace == o.ID {
			c.addProblem(path, "workspace %q still owns the key %q", o.ID, id)
			break
		}
	}
	for id := range c.view.RoutesOf(o.ID) {
		c.addProblem(path, "workspace %q still owns the route %q", o.ID, id)
		break
	}
}

// checkServiceStillOffered checks that a service that the backend server offered before the operations is
// still offered if a route needs it.
func (c *checker) checkServiceStillOffered(path string, before *View, id string) {
	s, ok := before.BackendServer(id)
	if !ok || s.Kind != KindService || c.hasService(s.Service) {
		return
	}
	for route, r := range c.view.routes.all() {
		if r.Service == s.Service {
			c.addProblem(path, "route %q needs the service %q, which no backend server offers any more", route, s.Service)
			return
		}
	}
}

// checkAgainstSchema checks JSON data against a compiled schema and refuses repeated fields.
func checkAgainstSchema(data []byte, schema *jsonschema.Schema) error {
	scanned, err := scanTokens(data)
	if err != nil {
		return trace.BadParameter("not valid JSON: %v", err)
	}
	if scanned.numberOutOfRange {
		return problemsError(scanned.problems)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return trace.BadParameter("not valid JSON: %v", err)
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); err != nil && !errors.As(err, &invalid) {
		return trace.Wrap(err)
	}
	return problemsError(appendLeafProblems(scanned.problems, invalid))
}

var printer = message.NewPrinter(language.English)

// appendLeafProblems appends the problems of a validation error that have no more specific cause.
func appendLeafProblems(p Problems, e *jsonschema.ValidationError) Problems {
	if e == nil {
		return p
	}
	path := findings.Pointer(e.InstanceLocation...)
	switch k := e.ErrorKind.(type) {
	case *schemakind.AdditionalProperties:
		for _, name := range k.Properties {
			p = append(p, Problem{path + findings.Pointer(name), "unknown field"})
		}
		return p
	case *schemakind.Required:
		for _, name := range k.Missing {
			p = append(p, Problem{path + findings.Pointer(name), "is missing"})
		}
		return p
	}
	if len(e.Causes) == 0 {
		return append(p, Problem{path, e.ErrorKind.LocalizedString(printer)})
	}
	for _, cause := range e.Causes {
		p = appendLeafProblems(p, cause)
	}
	return p
}

// scanResult holds what the schema check cannot find and a scan of the JSON tokens does.
type scanResult struct {
	problems Problems
	// numberOutOfRange means that a number is out of range. The schema check must not get such a number:
	// it computes with exact fractions, whose size grows with the exponent.
	numberOutOfRange bool
}

// scanTokens finds numbers out of range, and fields that occur twice in an object.
func scanTokens(data []byte) (scanResult, error) {
	var result scanResult
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return result, err
	}
	err := findings.Scanner{
		Number: func(path []string, n json.Number) {
			if !inRange(n.String()) {
				result.numberOutOfRange = true
				result.problems = append(result.problems, Problem{findings.Pointer(path...), "number out of range"})
			}
		},
		Repeated: func(path []string) {
			result.problems = append(result.problems, Problem{findings.Pointer(path...), "occurs twice"})
		},
	}.Scan(data)
	return result, err
}

// Limits on the text of a number: no sensible setting needs more than a float64 can hold.
const (
	maxNumberBytes = 64
	maxExponent    = 300
)

func inRange(number string) bool {
	_, exponent, hasExponent := strings.Cut(strings.ToLower(number), "e")
	if len(number) > maxNumberBytes || !hasExponent {
		return len(number) <= maxNumberBytes
	}
	e, err := strconv.Atoi(exponent)
	return err == nil && -maxExponent <= e && e <= maxExponent
}

type objectSchema struct{ id, value *jsonschema.Schema }

var compiler = sync.OnceValue(func() *jsonschema.Compiler {
	c := jsonschema.NewCompiler()
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err == nil {
		err = c.AddResource(schemaName, schema)
	}
	if err != nil {
		panic("the embedded schema is not valid JSON: " + err.Error())
	}
	return c
})

var documentSchema = sync.OnceValue(func() *jsonschema.Schema { return compiler().MustCompile(schemaName) })

var operationsSchema = sync.OnceValue(func() *jsonschema.Schema { return schemaDefinition("operations") })

var objectSchemas = sync.OnceValue(func() map[Kind]objectSchema {
	id := schemaDefinition("id")
	return map[Kind]objectSchema{
		KindFleet:         {id, schemaDefinition("fleet")},
		KindWorkspace:     {id, schemaDefinition("workspace")},
		KindKey:           {schemaDefinition("key_id"), schemaDefinition("key")},
		KindAdapter:       {schemaDefinition("adapter_id"), schemaDefinition("adapter")},
		KindRoute:         {id, schemaDefinition("route")},
		KindBackendServer: {id, schemaDefinition("backend_server")},
	}
})

func schemaDefinition(name string) *jsonschema.Schema {
	return compiler().MustCompile(schemaName + "#/$defs/" + name)
}
