// Package cli implements the subcommands of the plankridge binary and defines its
// exit codes.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/finding"
	"github.com/plankridge/plankridge/internal/operatorapi"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Environment holds the contexts, streams and output format of a subcommand.
type Environment struct {
	// Context is done when the command should shut down gracefully, Kill when it
	// should stop immediately.
	Context context.Context
	Kill    context.Context
	// Reload receives a signal for each request to reload the settings.
	Reload <-chan os.Signal
	Stdout io.Writer
	Stderr io.Writer
	// Output is the format of results.
	Output Output
}

// Output is the format in which results are printed.
type Output string

// Output formats.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
	OutputYAML  Output = "yaml"
)

// Check returns a *UsageError if the format is unknown.
func (o Output) Check() error {
	switch o {
	case OutputTable, OutputJSON, OutputYAML:
		return nil
	}
	return &UsageError{Message: fmt.Sprintf("--output: %q is not one of table, json, yaml", o)}
}

// UsageError reports an invalid command line.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// errOutcomeNotMet means that the command ran but its result is not the expected
// one. The result has been printed, so ExitCode prints nothing more.
var errOutcomeNotMet = errors.New("stated outcome does not hold")

// ExitCode prints an error and returns the exit code for it.
func ExitCode(env *Environment, err error) int {
	var usage *UsageError
	var findings *finding.Error
	var remote *operatorapi.FailureError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errOutcomeNotMet):
		return ExitFailed
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(env.Stderr, "plankridge:", usage.Message)
		return ExitUsage
	case errors.As(err, &findings):
		printFindings(env, findings.Findings)
		return ExitUsage
	case errors.As(err, &remote):
		return remoteExitCode(env, remote)
	}
	_, _ = fmt.Fprintln(env.Stderr, "plankridge:", eris.ToString(err, false))
	return ExitFailed
}

func remoteExitCode(env *Environment, remote *operatorapi.FailureError) int {
	if len(remote.Failure.Findings) > 0 {
		printFindings(env, remote.Failure.Findings)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(env.Stderr, "plankridge:", remote.Failure.Message)
	if remote.Failure.Current != remote.Failure.BasedOn {
		return ExitConflict
	}
	return ExitFailed
}

// printFindings prints one finding per line or, for JSON and YAML output, a single
// document.
func printFindings(env *Environment, findings []finding.Finding) {
	if env.Output == OutputJSON || env.Output == OutputYAML {
		_ = printDocument(env, map[string]any{"findings": findings})
		return
	}
	for _, f := range findings {
		_, _ = fmt.Fprintln(env.Stdout, f)
	}
}

// printDocument prints a value as YAML if that is the output format, and otherwise
// as JSON.
func printDocument(env *Environment, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	raw = append(raw, '\n')
	if env.Output == OutputYAML {
		if raw, err = yaml.JSONToYAML(raw); err != nil {
			return eris.Wrap(err, "encode output")
		}
	}
	_, err = env.Stdout.Write(raw)
	return eris.Wrap(err, "write output")
}

// printResult prints a value in the output format. For tables it calls table.
func printResult(env *Environment, value any, table func(io.Writer)) error {
	if env.Output != OutputTable {
		return printDocument(env, value)
	}
	table(env.Stdout)
	return nil
}

// OperatorEndpoint holds the URL of the operator API and the path of the file with its
// token. Without a file, the token is read from TokenVariable.
type OperatorEndpoint struct {
	URL       string
	TokenFile string
}

// SettingsVariable is the environment variable that holds the path of the settings
// file for the serve command.
const SettingsVariable = "PLANKRIDGE_SETTINGS"

// TokenVariable is the environment variable that holds the operator token.
const TokenVariable = "PLANKRIDGE_OPERATOR_TOKEN"

// Client returns a client of the operator API, or a *UsageError if the URL is empty.
func (o OperatorEndpoint) Client() (*operatorapi.Client, error) {
	if o.URL == "" {
		return nil, &UsageError{Message: "--url is missing: the operator API of any daemon, such as http://10.0.0.4:7080"}
	}
	token := os.Getenv(TokenVariable)
	if o.TokenFile != "" {
		raw, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read operator token")
		}
		token = string(raw)
	}
	return operatorapi.NewClient(o.URL, token), nil
}
