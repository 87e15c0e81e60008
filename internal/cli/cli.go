// Package cli holds the subcommands of the plankridge binary and their exit
// codes.
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

// Environment is what a subcommand works in.
type Environment struct {
	// Context ends when the command is to finish what it does, Kill when it is
	// to stop at once.
	Context context.Context
	Kill    context.Context
	// Reload tells of each request to read the settings again.
	Reload <-chan os.Signal
	Stdout io.Writer
	Stderr io.Writer
	// Output is the form of answers.
	Output Output
}

// Output is the form in which answers are printed.
type Output string

// The forms of output.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
	OutputYAML  Output = "yaml"
)

// Check returns a usage error for an unknown form.
func (o Output) Check() error {
	switch o {
	case OutputTable, OutputJSON, OutputYAML:
		return nil
	}
	return &UsageError{Message: fmt.Sprintf("--output: %q is not one of table, json, yaml", o)}
}

// UsageError is a command line that cannot be carried out.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// errOutcomeNotMet means that the command ran and its result is not the wanted one;
// what there is to say has been printed.
var errOutcomeNotMet = errors.New("stated outcome does not hold")

// ExitCode prints an error and returns the exit code that it means.
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

// printFindings prints one finding a line, or all as one document.
func printFindings(env *Environment, findings []finding.Finding) {
	if env.Output == OutputJSON || env.Output == OutputYAML {
		_ = printDocument(env, map[string]any{"findings": findings})
		return
	}
	for _, f := range findings {
		_, _ = fmt.Fprintln(env.Stdout, f)
	}
}

// printDocument prints a value as JSON or YAML.
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

// printResult prints a value as a document, or by table where that is asked for.
func printResult(env *Environment, value any, table func(io.Writer)) error {
	if env.Output != OutputTable {
		return printDocument(env, value)
	}
	table(env.Stdout)
	return nil
}

// Operator says how to reach the operator API.
type Operator struct {
	URL       string
	TokenFile string
}

// SettingsVariable is the environment variable that holds the path of the
// settings of serve.
const SettingsVariable = "PLANKRIDGE_SETTINGS"

// TokenVariable is the environment variable that holds the operator token.
const TokenVariable = "PLANKRIDGE_OPERATOR_TOKEN"

// Client returns a client of the operator API.
func (o Operator) Client() (*operatorapi.Client, error) {
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
