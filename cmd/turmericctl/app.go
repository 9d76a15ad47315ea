package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/transport/admin"
)

// maxInputBytes limits the size of a document or object read from a file or standard input.
const maxInputBytes = 64 << 20

// options holds the flags that all commands share.
type options struct {
	Server    string        `long:"server" env:"TURMERIC_SERVER" default:"http://127.0.0.1:8081" description:"admin address of an entry instance"`
	TokenFile string        `long:"token-file" env:"TURMERIC_TOKEN_FILE" description:"file that holds the operator token"`
	CAFile    string        `long:"ca-file" env:"TURMERIC_CA_FILE" description:"PEM file of the certificate authority; default: the system's"`
	PlainText bool          `long:"allow-plain-text" description:"send the token without TLS to an address that is not loopback"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"longest time for all requests of the command"`
}

// app holds the state of one invocation.
type app struct {
	ctx            context.Context
	stdin          io.Reader
	stdout, stderr io.Writer
	options        options
}

// registerCommands adds the shared flags and the commands to the parser. It fails only if the struct tag of a flag
// is invalid.
func (a *app) registerCommands(p *flags.Parser) error {
	if _, err := p.AddGroup("Options", "", &a.options); err != nil {
		return trace.Wrap(err)
	}
	commands := []struct {
		name, text string
		data       any
	}{
		{"keygen", "make a key and print its secret once", &keygen{app: a}},
		{"validate", "check a document", &validate{app: a}},
		{"check", "check a document before it is published, without an instance", &check{app: a}},
		{"diff", "compare a document with the configuration in force", &diff{app: a}},
		{"publish", "put a document in force", &publish{app: a}},
		{"get", "print the configuration in force", &get{app: a}},
		{"status", "show the instances", &status{app: a}},
		{"gateways", "show evacuated data centres and cold workers, from the metrics of instances of turmeric-gateway", &gateways{app: a}},
		{"keys", "create, withdraw and list keys", &struct {
			Create   keysCreate   `command:"create" description:"make a key, put it in force and print its secret once"`
			Withdraw keysWithdraw `command:"withdraw" description:"withdraw a key"`
			List     keysList     `command:"list" description:"list keys"`
		}{keysCreate{app: a}, keysWithdraw{app: a}, keysList{app: a}}},
		{"workspaces", "workspaces", a.objects(config.KindWorkspace, "workspaces")},
		{"adapters", "adapters", a.objects(config.KindAdapter, "adapters")},
		{"routes", "routes", a.objects(config.KindRoute, "routes")},
		{"servers", "backend servers", a.objects(config.KindBackendServer, "backend_servers")},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.text, "", c.data); err != nil {
			return trace.Wrap(err, "command %s", c.name)
		}
	}
	return nil
}

// printf writes to standard output or standard error. It ignores write errors, which could not be reported anywhere.
func (a *app) printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printJSON writes indented JSON to standard output.
func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(v))
}

// readInput returns the contents of a file, or of standard input if name is "-".
func (a *app) readInput(name string) ([]byte, error) {
	in := a.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", name)
	}
	if len(data) > maxInputBytes {
		return nil, trace.BadParameter("%s is larger than 64 MiB", name)
	}
	return data, nil
}

// client returns a client that sends the operator token, a context that ends after --timeout, and a function that
// releases both. Without --allow-plain-text it refuses a server that would receive the token unencrypted over a network.
func (a *app) client() (*admin.Client, context.Context, context.CancelFunc, error) {
	address, err := url.Parse(a.options.Server)
	if err != nil || address.Host == "" {
		return nil, nil, nil, usageError("--server %q is not a URL", a.options.Server)
	}
	if ip := net.ParseIP(address.Hostname()); address.Scheme != "https" && (ip == nil || !ip.IsLoopback()) && !a.options.PlainText {
		return nil, nil, nil, usageError("--server %q would receive the token unencrypted; use https or --allow-plain-text", a.options.Server)
	}
	if a.options.TokenFile == "" {
		return nil, nil, nil, usageError("--token-file or TURMERIC_TOKEN_FILE is required")
	}
	token, err := os.ReadFile(a.options.TokenFile)
	if err != nil {
		return nil, nil, nil, trace.ConvertSystemError(err)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13}}
	if a.options.CAFile != "" {
		pem, err := os.ReadFile(a.options.CAFile)
		if err != nil {
			return nil, nil, nil, trace.ConvertSystemError(err)
		}
		transport.TLSClientConfig.RootCAs = x509.NewCertPool()
		if !transport.TLSClientConfig.RootCAs.AppendCertsFromPEM(pem) {
			return nil, nil, nil, trace.BadParameter("%s contains no certificate", a.options.CAFile)
		}
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.options.Timeout)
	c := &admin.Client{URL: a.options.Server, Token: strings.TrimSpace(string(token)), HTTP: &http.Client{Transport: transport}}
	return c, ctx, func() { cancel(); transport.CloseIdleConnections() }, nil
}

// currentConfig reads the configuration in force.
func (a *app) currentConfig() (admin.ConfigResponse, error) {
	c, ctx, done, err := a.client()
	if err != nil {
		return admin.ConfigResponse{}, err
	}
	defer done()
	return c.Config(ctx)
}

// submitChange submits operations as one change and returns the response if the change is accepted. If another change
// was accepted first, it returns a trace.CompareFailed error that names both changes. After any other error the change
// may have taken effect under its id.
func (a *app) submitChange(base config.Version, flags changeFlags, ops []config.Operation) (admin.ChangeResponse, error) {
	if flags.ID == "" {
		flags.ID = uuid.NewString()
	}
	c, ctx, done, err := a.client()
	if err != nil {
		return admin.ChangeResponse{}, err
	}
	defer done()
	response, err := c.Change(ctx, admin.ChangeRequest{ID: flags.ID, Base: base, Operations: ops, Author: flags.Author})
	switch {
	case trace.IsConnectionProblem(err):
		return response, trace.Wrap(err, "change %s may have taken effect; retry it with --base %d --id %s", flags.ID, base, flags.ID)
	case err != nil:
		return response, err
	case response.Refusal != nil:
		r := response.Refusal
		return response, trace.CompareFailed("change %s by %q is based on version %d, but change %s by %q was accepted first and made version %d",
			flags.ID, flags.Author, r.Base, r.Theirs.ID, r.Theirs.Author, r.Current)
	case !response.Accepted:
		return response, trace.CompareFailed("change %s was refused at version %d", flags.ID, response.Version)
	}
	return response, nil
}

// printChange prints the outcome of an accepted change.
func (a *app) printChange(response admin.ChangeResponse, asJSON bool) error {
	if asJSON {
		return a.printJSON(response)
	}
	for _, w := range response.Warnings {
		a.printf(a.stderr, "warning: %s: %s\n", w.Path, w.Message)
	}
	a.printf(a.stdout, "version %d, in force at %d instances\n", response.Version, len(response.ConfirmedBy))
	if len(response.Unconfirmed) > 0 {
		a.printf(a.stdout, "not confirmed by: %s\n", strings.Join(response.Unconfirmed, " "))
	}
	return nil
}

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	Base   *uint64 `long:"base" description:"version that the change was made for; default: the version just read"`
	ID     string  `long:"id" description:"id of the change, a UUID, to repeat one whose answer was lost"`
	Author string  `long:"author" env:"USER" description:"name recorded with the change"`
}

// baseOr returns the version given by --base, or else the version just read.
func (f changeFlags) baseOr(read config.Version) config.Version {
	if f.Base != nil {
		return config.Version(*f.Base)
	}
	return read
}
