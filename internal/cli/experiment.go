package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/guptarohit/asciigraph"

	"github.com/plankridge/plankridge/internal/experiment"
)

// ExperimentOptions holds the arguments of the experiment command.
type ExperimentOptions struct {
	// Day is the path of a day description, or of a directory of such YAML files.
	Day string
	// Routing and Sizing are the names of the policies to compare. They default to
	// all routing policies and to the product's sizing policy.
	Routing []string
	Sizing  []string
	// Seeds is the number of consecutive seeds, starting at FirstSeed.
	Seeds     int
	FirstSeed int
	Plot      bool
}

// trial is a combination of a routing policy and a sizing policy to simulate.
type trial struct {
	policy experiment.Policy
	sizing experiment.Sizing
}

// trialRow holds the results of a trial on one day, as means over all seeds.
type trialRow struct {
	Day              string  `json:"day"`
	Routing          string  `json:"routing"`
	Sizing           string  `json:"sizing"`
	Net              float64 `json:"net"`
	Share            float64 `json:"share"`
	WorstSpans       float64 `json:"worst_spans"`
	OnTime           float64 `json:"on_time"`
	Late             float64 `json:"late"`
	Refused          float64 `json:"refused"`
	Failed           float64 `json:"failed"`
	FirstP50MS       float64 `json:"first_ms_p50"`
	FirstP95MS       float64 `json:"first_ms_p95"`
	ReadKTokens      float64 `json:"thousand_tokens_read"`
	ReadAgainKTokens float64 `json:"thousand_tokens_read_again"`
	CopiedKTokens    float64 `json:"thousand_tokens_copied"`
	ServerSeconds    float64 `json:"priced_server_seconds"`

	shares []float64
}

// Experiment simulates one or more days and prints the mean results of each
// combination of policies.
func Experiment(env *Environment, options ExperimentOptions) error {
	if options.Day == "" {
		return &UsageError{Message: "experiment: name the file that describes the day"}
	}
	if options.Seeds < 1 || options.FirstSeed < 0 {
		return &UsageError{Message: "experiment: --seeds must be at least 1 and --first-seed at least 0"}
	}
	trials, err := newTrials(options)
	if err != nil {
		return &UsageError{Message: "experiment: " + err.Error()}
	}
	files, err := dayFiles(options.Day)
	if err != nil {
		return err
	}
	var rows []trialRow
	for _, file := range files {
		day, err := experiment.Load(file)
		if err != nil {
			return err
		}
		for _, row := range runTrials(day, trials, options) {
			row.Day = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
			rows = append(rows, row)
		}
	}
	return printResult(env, rows, func(out io.Writer) { printTrials(out, rows, options.Plot) })
}

// dayFiles returns path itself if it is a file, or the sorted YAML files in it if it
// is a directory.
func dayFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no file *.yaml", path)
	}
	return files, err
}

func newTrials(options ExperimentOptions) ([]trial, error) {
	var policies []experiment.Policy
	for _, name := range splitCommas(options.Routing) {
		policy, err := experiment.PolicyNamed(name)
		if err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	if len(policies) == 0 {
		policies = experiment.Policies()
	}
	names := splitCommas(options.Sizing)
	if len(names) == 0 {
		names = []string{"demand"}
	}
	var trials []trial
	for _, name := range names {
		sizing, err := experiment.SizingNamed(name)
		if err != nil {
			return nil, err
		}
		for _, policy := range policies {
			trials = append(trials, trial{policy, sizing})
		}
	}
	return trials, nil
}

// splitCommas splits comma-separated values such as "a,b".
func splitCommas(values []string) []string {
	var all []string
	for _, value := range values {
		all = append(all, strings.Split(value, ",")...)
	}
	return all
}

// runTrials simulates every trial with every seed, on up to half of the CPUs, and
// returns one row per trial.
func runTrials(day *experiment.Day, trials []trial, options ExperimentOptions) []trialRow {
	results := make([][]*experiment.Result, len(trials))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i, t := range trials {
		results[i] = make([]*experiment.Result, options.Seeds)
		for n := range options.Seeds {
			wg.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				results[i][n] = experiment.Play(day, t.policy, t.sizing, uint64(options.FirstSeed+n))
			})
		}
	}
	wg.Wait()
	rows := make([]trialRow, len(trials))
	for i, t := range trials {
		rows[i] = meanRow(t, results[i])
	}
	return rows
}

func meanRow(t trial, results []*experiment.Result) trialRow {
	row := trialRow{Routing: t.policy.Name, Sizing: t.sizing.Name, shares: make([]float64, len(results[0].Shares()))}
	weight := 1 / float64(len(results))
	const thousand = 1000
	for _, r := range results {
		perRequest := weight / float64(max(1, r.Asked))
		row.Net += weight * r.Net()
		row.Share += weight * r.Share()
		row.WorstSpans += weight * r.WorstSpans()
		row.OnTime += perRequest * float64(r.OnTime)
		row.Late += perRequest * float64(r.Late)
		row.Refused += perRequest * float64(r.Refused)
		row.Failed += perRequest * float64(r.Failed)
		row.FirstP50MS += weight * float64(r.FirstMS(50))
		row.FirstP95MS += weight * float64(r.FirstMS(95))
		row.ReadKTokens += weight * float64(r.Read) / thousand
		row.ReadAgainKTokens += weight * float64(r.ReadAgain) / thousand
		row.CopiedKTokens += weight * float64(r.Copied) / thousand
		row.ServerSeconds += weight * r.ServerSeconds
		for i, s := range r.Shares() {
			row.shares[i] += weight * s
		}
	}
	return row
}

func printTrials(out io.Writer, rows []trialRow, plot bool) {
	table := newTable(out)
	_, _ = fmt.Fprintln(table, "DAY\tROUTING\tSIZING\tNET\tEARNED\tWORST SPANS\tON TIME\tLATE\tREFUSED\tFAILED\tFIRST P50\tP95 MS\tK READ\tAGAIN\tCOPIED\tPRICED SERVER S")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.3f\t%.3f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			r.Day, r.Routing, r.Sizing, r.Net, r.Share, r.WorstSpans, r.OnTime, r.Late, r.Refused, r.Failed,
			r.FirstP50MS, r.FirstP95MS, r.ReadKTokens, r.ReadAgainKTokens, r.CopiedKTokens, r.ServerSeconds)
	}
	_ = table.Flush()
	if plot {
		_, _ = fmt.Fprintln(out)
		_, _ = fmt.Fprintln(out, renderPlot(rows))
	}
}

const (
	plotWidth  = 78
	plotHeight = 14
	// maxPlottedRows bounds the lines of a plot. More cannot be told apart.
	maxPlottedRows = 5
)

// renderPlot plots the share of the worth earned over the day for the rows with the
// highest net result.
func renderPlot(rows []trialRow) string {
	topRows := slices.SortedFunc(slices.Values(rows), func(a, b trialRow) int {
		if a.Net > b.Net {
			return -1
		}
		return 1
	})
	topRows = topRows[:min(len(topRows), maxPlottedRows)]
	colours := []asciigraph.AnsiColor{asciigraph.Default, asciigraph.Red, asciigraph.Green, asciigraph.Blue, asciigraph.Yellow}
	var series [][]float64
	var names []string
	for _, r := range topRows {
		series = append(series, r.shares)
		names = append(names, r.Day+" "+r.Routing+" "+r.Sizing)
	}
	return asciigraph.PlotMany(series, asciigraph.Width(plotWidth), asciigraph.Height(plotHeight), asciigraph.LowerBound(0),
		asciigraph.Caption("share of the worth earned, by time of arrival"),
		asciigraph.SeriesColors(colours[:len(series)]...), asciigraph.SeriesLegends(names...))
}
