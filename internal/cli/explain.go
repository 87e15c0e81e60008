package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/explain"
)

// ExplainOptions are the arguments of explain.
type ExplainOptions struct {
	RequestID string
	// Files are the daemons' logs; none means standard input.
	Files []string
	// Summary counts the causes of all requests that were not served.
	Summary bool
}

// Explain prints the story of one request, or the causes of all that failed.
func Explain(env *Environment, options ExplainOptions) error {
	if options.RequestID == "" && !options.Summary {
		return &UsageError{Message: "explain: name a request ID, or give --summary"}
	}
	lines, broken, err := readLogs(options.Files)
	if err != nil {
		return err
	}
	if broken > 0 {
		_, _ = fmt.Fprintf(env.Stderr, "%d lines could not be read and are left out\n", broken)
	}
	if options.Summary {
		return printSummary(env, explain.Summary(lines))
	}
	story, found := explain.BuildTimeline(lines, options.RequestID)
	if !found {
		return eris.Errorf("no line names request %s; was the log level below info, or does the ID belong to another attempt?", options.RequestID)
	}
	return eris.Wrap(story.Print(env.Stdout), "write output")
}

func readLogs(files []string) ([]explain.Line, int, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	broken := 0
	for _, path := range files {
		lines, n, err := readLog(path)
		if err != nil {
			return nil, 0, err
		}
		all, broken = append(all, lines...), broken+n
	}
	return all, broken, nil
}

func readLog(path string) ([]explain.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	lines, broken, err := explain.Read(file)
	return lines, broken, eris.Wrapf(err, "read %s", path)
}

func printSummary(env *Environment, counts []explain.CauseCount) error {
	total, unknown := 0, 0
	for _, c := range counts {
		total += c.Requests
		if c.Cause == explain.CauseUnknown {
			unknown = c.Requests
		}
	}
	for _, c := range counts {
		if err := writeOutput(env.Stdout, "%7d  %s\n", c.Requests, c.Cause); err != nil {
			return err
		}
	}
	named := 100.0
	if total > 0 {
		named = 100 * float64(total-unknown) / float64(total)
	}
	return writeOutput(env.Stdout, "%7d  in all; the cause is named for %.1f%%\n", total, named)
}

func writeOutput(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return eris.Wrap(err, "write output")
}
