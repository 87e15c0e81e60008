package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/operatorapi"
	"github.com/plankridge/plankridge/internal/replay"
	"github.com/plankridge/plankridge/internal/vmlist"
)

// Get prints the current deployment. The YAML output can be applied again as a
// file.
func Get(env *Environment, operator OperatorEndpoint) error {
	client, err := operator.Client()
	if err != nil {
		return err
	}
	document, err := client.Deployment(env.Context)
	if err != nil {
		return err
	}
	if env.Output == OutputJSON {
		return printDocument(env, document)
	}
	if _, err := fmt.Fprintf(env.Stdout, "# generation: %d\n", document.Generation); err != nil {
		return eris.Wrap(err, "write output")
	}
	asYAML := *env
	asYAML.Output = OutputYAML
	return printDocument(&asYAML, document.Deployment)
}

// Status prints the status of the daemons and the number of backend servers of each
// service.
func Status(env *Environment, operator OperatorEndpoint) error {
	client, err := operator.Client()
	if err != nil {
		return err
	}
	status, err := client.Status(env.Context)
	if err != nil {
		return err
	}
	return printResult(env, status, func(out io.Writer) { printStatus(out, status) })
}

func newTable(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}

func printStatus(out io.Writer, status operatorapi.StatusResponse) {
	table := newTable(out)
	_, _ = fmt.Fprintln(table, "DAEMON\tZONE\tREACHABLE\tGENERATION\tIN FLIGHT\tDRAINING")
	for _, d := range status.Daemons {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%t\n", d.ID, d.Zone, d.Reachable, d.Generation, d.InFlight, d.Draining)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(out)
	_, _ = fmt.Fprintln(table, "SERVICE\tLIVE\tLEAVING")
	for _, name := range slices.Sorted(maps.Keys(status.Servers)) {
		counts := status.Servers[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\n", name, counts[vmlist.VMLive], counts[vmlist.VMLeaving])
	}
	_ = table.Flush()
}

// burnReport is the output of ReportBurn. Rows are sorted by the burn rate in the
// first window, highest first.
type burnReport struct {
	Windows []string  `json:"windows"`
	Rows    []burnRow `json:"rows"`
}

type burnRow struct {
	Service   string    `json:"service"`
	Workspace string    `json:"workspace"`
	Objective float64   `json:"objective"`
	Good      int64     `json:"good"`
	Bad       int64     `json:"bad"`
	Rates     []float64 `json:"rates"`
}

// ReportBurn prints the error budget burn rate of each service and workspace. At a
// rate of one, the error budget lasts exactly for the period of the objective.
func ReportBurn(env *Environment, operator OperatorEndpoint) error {
	client, err := operator.Client()
	if err != nil {
		return err
	}
	response, err := client.Burn(env.Context)
	if err != nil {
		return err
	}
	report := newBurnReport(response)
	return printResult(env, report, func(out io.Writer) { printBurn(out, report) })
}

func newBurnReport(response operatorapi.BurnResponse) burnReport {
	report := burnReport{Windows: response.Windows, Rows: []burnRow{}}
	for _, row := range response.Rows {
		reportRow := burnRow{Service: row.Service, Workspace: row.Workspace, Objective: row.Objective}
		for _, count := range row.Counts {
			reportRow.Rates = append(reportRow.Rates, count.Rate(row.Objective))
			reportRow.Good, reportRow.Bad = count.Good, count.Bad
		}
		report.Rows = append(report.Rows, reportRow)
	}
	slices.SortStableFunc(report.Rows, func(a, b burnRow) int { return cmp.Compare(b.Rates[0], a.Rates[0]) })
	return report
}

func printBurn(out io.Writer, report burnReport) {
	table := newTable(out)
	_, _ = fmt.Fprint(table, "SERVICE\tWORKSPACE\tOBJECTIVE\tGOOD\tBAD")
	for _, window := range report.Windows {
		_, _ = fmt.Fprintf(table, "\tBURN %s", window)
	}
	_, _ = fmt.Fprintln(table)
	for _, row := range report.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%g\t%d\t%d", row.Service, row.Workspace, row.Objective, row.Good, row.Bad)
		for _, rate := range row.Rates {
			_, _ = fmt.Fprintf(table, "\t%.2f", rate)
		}
		_, _ = fmt.Fprintln(table)
	}
	_ = table.Flush()
}

// ReplayOptions holds the arguments of the replay command.
type ReplayOptions struct {
	Trace string
	URL   string
	Speed float64
	// Operator is the operator API from which the price of the backend VMs is read.
	// Without a URL, the price is zero.
	Operator OperatorEndpoint
}

// Replay sends the requests of a trace and prints a summary as JSON. It fails if an
// outcome stated in the trace does not hold.
func Replay(env *Environment, options ReplayOptions) error {
	if options.Trace == "" || options.URL == "" {
		return &UsageError{Message: "replay needs a trace and --url"}
	}
	if options.Speed <= 0 {
		return &UsageError{Message: "--speed must be greater than zero"}
	}
	file, err := os.Open(options.Trace)
	if err != nil {
		return eris.Wrap(err, "open trace")
	}
	defer func() { _ = file.Close() }()
	trace, err := replay.Read(options.Trace, file)
	if err != nil {
		return err
	}
	price, err := fleetPrice(env, options.Operator)
	if err != nil {
		return err
	}
	summary, err := replay.Run(env.Context, trace, replay.Options{URL: options.URL, Speed: options.Speed, FleetPerHour: price})
	if err != nil {
		return err
	}
	asJSON := *env
	asJSON.Output = OutputJSON
	if err := printDocument(&asJSON, summary); err != nil {
		return err
	}
	if !summary.Holds() {
		return errOutcomeNotMet
	}
	return nil
}

// fleetPrice returns the price per hour of the runners in the current deployment, or
// zero if operator has no URL.
func fleetPrice(env *Environment, operator OperatorEndpoint) (float64, error) {
	if operator.URL == "" {
		return 0, nil
	}
	client, err := operator.Client()
	if err != nil {
		return 0, err
	}
	document, err := client.Deployment(env.Context)
	if err != nil {
		return 0, err
	}
	return config.NewIndex(document.Deployment).FleetPricePerHour(), nil
}
