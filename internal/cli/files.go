package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/operatorapi"
)

// Validate checks deployment files and daemon settings files without contacting a
// daemon.
func Validate(env *Environment, paths, settings []string) error {
	if len(paths) == 0 && len(settings) == 0 {
		return &UsageError{Message: "nothing to validate: give --file or --settings"}
	}
	for _, path := range settings {
		if err := config.CheckSettingsFile(path); err != nil {
			return err
		}
	}
	if len(paths) == 0 {
		_, err := fmt.Fprintf(env.Stdout, "ok: %d settings files\n", len(settings))
		return eris.Wrap(err, "write output")
	}
	files, err := config.ReadFiles(paths)
	if err != nil {
		return err
	}
	d, err := config.Load(files)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "ok: %d services, %d workspaces, %d routes in %d files\n",
		len(d.Services), len(d.Workspaces), len(d.Routes), len(files))
	return eris.Wrap(err, "write output")
}

// ApplyOptions holds the flags of the apply command.
type ApplyOptions struct {
	Operator OperatorEndpoint
	Files    []string
	// BasedOn is the generation that the files modify. A negative value stands for
	// the current generation.
	BasedOn int64
	DryRun  bool
	// Wait makes Apply wait until the new generation is in force on every reachable
	// daemon.
	Wait bool
}

// waitPollInterval is the pause between two polls of the daemons' generations.
const waitPollInterval = 100 * time.Millisecond

// Apply applies files as the next generation.
func Apply(env *Environment, options ApplyOptions) error {
	if len(options.Files) == 0 {
		return &UsageError{Message: "--file is missing: a YAML file or a folder of them"}
	}
	files, err := config.ReadFiles(options.Files)
	if err != nil {
		return err
	}
	client, err := options.Operator.Client()
	if err != nil {
		return err
	}
	if options.BasedOn < 0 {
		document, err := client.Deployment(env.Context)
		if err != nil {
			return err
		}
		options.BasedOn = document.Generation
	}
	response, err := client.Apply(env.Context, operatorapi.ApplyRequest{
		Files: files, BasedOn: options.BasedOn, ApplyID: uuid.NewString(), DryRun: options.DryRun,
	})
	if err != nil {
		return err
	}
	if options.Wait && !response.DryRun {
		if err := waitInForce(env, client, response.Generation); err != nil {
			return err
		}
	}
	return printResult(env, response, func(out io.Writer) { printApplied(out, response, options.Wait) })
}

func printApplied(out io.Writer, response operatorapi.ApplyResponse, waited bool) {
	switch {
	case response.DryRun:
		_, _ = fmt.Fprintf(out, "ok: would become generation %d\n", response.Generation)
	case waited:
		_, _ = fmt.Fprintf(out, "generation %d is in force on every reachable daemon\n", response.Generation)
	default:
		_, _ = fmt.Fprintf(out, "generation %d accepted\n", response.Generation)
	}
}

func waitInForce(env *Environment, client *operatorapi.Client, generation int64) error {
	for {
		status, err := client.Status(env.Context)
		if err == nil && inForce(status, generation) {
			return nil
		}
		select {
		case <-time.After(waitPollInterval):
		case <-env.Context.Done():
			return eris.Wrapf(env.Context.Err(), "generation %d is accepted but not yet in force everywhere", generation)
		}
	}
}

func inForce(status operatorapi.StatusResponse, generation int64) bool {
	for _, daemon := range status.Daemons {
		if daemon.Reachable && daemon.Generation < generation {
			return false
		}
	}
	return true
}

// Diff prints the changes from the current deployment to the files.
func Diff(env *Environment, operator OperatorEndpoint, paths []string) error {
	if len(paths) == 0 {
		return &UsageError{Message: "--file is missing: a YAML file or a folder of them"}
	}
	files, err := config.ReadFiles(paths)
	if err != nil {
		return err
	}
	client, err := operator.Client()
	if err != nil {
		return err
	}
	response, err := client.Diff(env.Context, operatorapi.DiffRequest{Files: files})
	if err != nil {
		return err
	}
	return printResult(env, response, func(out io.Writer) { printDiff(out, response) })
}

func printDiff(out io.Writer, response operatorapi.DiffResponse) {
	_, _ = fmt.Fprintf(out, "compared with generation %d: %d changes\n", response.Generation, len(response.Changes))
	for _, change := range response.Changes {
		_, _ = fmt.Fprintf(out, "%s %s\n", change.Kind, change.Item)
		if change.Before != nil {
			_, _ = fmt.Fprintf(out, "  - %s\n", change.Before)
		}
		if change.After != nil {
			_, _ = fmt.Fprintf(out, "  + %s\n", change.After)
		}
	}
}
