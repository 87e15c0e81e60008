package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/explain"
)

// ExplainOptions holds the arguments of the explain command.
type ExplainOptions struct {
	RequestID string
	// Files are the paths of the daemons' logs. If empty, standard input is read.
	Files []string
	// Summary selects counts by cause for all requests that were not served, in
	// place of one request.
	Summary bool
}

// Explain prints what the logs record about one request or, with Summary, how many
// requests were not served for each cause.
func Explain(env *Environment, options ExplainOptions) error {
	if options.RequestID == "" && !options.Summary {
		return &UsageError{Message: "explain: name a request ID, or give --summary"}
	}
	lines, unreadable, err := readLogs(options.Files)
	if err != nil {
		return err
	}
	if unreadable > 0 {
		_, _ = fmt.Fprintf(env.Stderr, "%d lines could not be read and are left out\n", unreadable)
	}
	if options.Summary {
		return printSummary(env, explain.Summary(lines))
	}
	report, found := explain.BuildTimeline(lines, options.RequestID)
	if !found {
		return eris.Errorf("no line names request %s; was the log level below info, or does the ID belong to another attempt?", options.RequestID)
	}
	return eris.Wrap(report.Print(env.Stdout), "write output")
}

func readLogs(files []string) ([]explain.Line, int, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var all []explain.Line
	unreadable := 0
	for _, path := range files {
		lines, n, err := readLog(path)
		if err != nil {
			return nil, 0, err
		}
		all, unreadable = append(all, lines...), unreadable+n
	}
	return all, unreadable, nil
}

func readLog(path string) ([]explain.Line, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	lines, unreadable, err := explain.Read(file)
	return lines, unreadable, eris.Wrapf(err, "read %s", path)
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
	namedPercent := 100.0
	if total > 0 {
		namedPercent = 100 * float64(total-unknown) / float64(total)
	}
	return writeOutput(env.Stdout, "%7d  in all; the cause is named for %.1f%%\n", total, namedPercent)
}

func writeOutput(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return eris.Wrap(err, "write output")
}
