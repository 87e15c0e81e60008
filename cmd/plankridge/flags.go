package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plankridge/plankridge/internal/cli"
)

const description = `Serving on reclaimable VMs: the daemon of every entry VM, and the client for operators.

Examples:
  plankridge dev                                     run everything in one process
  plankridge serve --settings daemon.yaml            run the daemon of an entry VM
  plankridge validate -f examples/ndiaye             check files before applying them
  plankridge diff -f DIR --url http://10.0.0.4:7080  compare files with what is in force
  plankridge apply -f DIR --url http://10.0.0.4:7080 --wait
  plankridge status --url http://10.0.0.4:7080 --output json
  plankridge report burn --url http://10.0.0.4:7080
  plankridge explain 9c41d07be2a35f68 --log vm-1.log --log vm-2.log
  plankridge experiment examples/experiments/ndiaye.yaml --routing product,random --sizing demand,2+1
  plankridge replay testdata/traces/ndiaye-day.jsonl --url http://127.0.0.1:8080

Exit codes: 0 ok, 1 failed, 2 usage or findings in files, 3 conflict with another apply.`

// command is a parsed command line.
type command struct {
	output string
	run    func(env *cli.Environment) error
}

// flags hold the values of all subcommands.
type flags struct {
	output    string
	settings  string
	files     []string
	daemons   []string
	operator  cli.OperatorEndpoint
	basedOn   int64
	dryRun    bool
	wait      bool
	example   string
	listen    string
	verbose   bool
	trace     string
	replayURL string
	operators string
	speed     float64
}

// subcommand pairs a subcommand with what it runs.
type subcommand struct {
	flaggy *flaggy.Subcommand
	run    func(env *cli.Environment) error
}

func parse(args []string) command {
	f := &flags{
		output: string(cli.OutputTable), basedOn: -1, example: "ndiaye", listen: "127.0.0.1:8080", speed: 1,
		settings: os.Getenv(cli.SettingsVariable),
	}
	parser := flaggy.NewParser("plankridge")
	parser.Description = description
	parser.Version = version()
	parser.ShowHelpOnUnexpected = true
	subcommands := f.subcommands()
	for _, sub := range subcommands {
		sub.flaggy.String(&f.output, "o", "output", "form of the answer: table, json or yaml")
		parser.AttachSubcommand(sub.flaggy, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "plankridge:", err)
		os.Exit(cli.ExitUsage)
	}
	for _, sub := range subcommands {
		if sub.flaggy.Used {
			return command{output: f.output, run: sub.run}
		}
	}
	parser.ShowHelp()
	os.Exit(cli.ExitUsage)
	return command{}
}

func (f *flags) subcommands() []subcommand {
	return []subcommand{
		f.serve(), f.dev(), f.validate(), f.apply(), f.diff(), f.get(), f.status(), f.report(), f.replay(), f.experiment(), f.explain(), f.version(),
	}
}

func newSubcommand(name, text string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = text
	return sub
}

func (f *flags) addOperator(sub *flaggy.Subcommand) {
	sub.String(&f.operator.URL, "u", "url", "operator API of any daemon")
	sub.String(&f.operator.TokenFile, "t", "token-file", "file with the operator token (or set "+cli.TokenVariable+")")
}

func (f *flags) addFiles(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.files, "f", "file", "YAML file or folder; may be given several times")
}

func (f *flags) serve() subcommand {
	sub := newSubcommand("serve", "run the daemon of an entry VM")
	sub.String(&f.settings, "s", "settings", "YAML file with the daemon's settings (or set "+cli.SettingsVariable+")")
	return subcommand{sub, func(env *cli.Environment) error {
		return cli.Serve(env, f.settings)
	}}
}

func (f *flags) dev() subcommand {
	sub := newSubcommand("dev", "run a whole deployment with stand-ins in one process")
	sub.String(&f.example, "e", "example", "sample files: ndiaye or amakusa")
	sub.String(&f.listen, "l", "listen", "IP:port for callers")
	sub.Bool(&f.verbose, "v", "verbose", "log every request")
	return subcommand{sub, func(env *cli.Environment) error {
		return cli.Dev(env, cli.DevOptions{Example: f.example, Listen: f.listen, Verbose: f.verbose})
	}}
}

func (f *flags) validate() subcommand {
	sub := newSubcommand("validate", "check files and print every finding with its place")
	f.addFiles(sub)
	sub.StringSlice(&f.daemons, "s", "settings", "settings file of a daemon; may be given several times")
	return subcommand{sub, func(env *cli.Environment) error {
		return cli.Validate(env, f.files, f.daemons)
	}}
}

func (f *flags) apply() subcommand {
	sub := newSubcommand("apply", "make files the deployment in force")
	f.addFiles(sub)
	f.addOperator(sub)
	sub.Int64(&f.basedOn, "b", "based-on", "generation that the files were made for (default: the current one)")
	sub.Bool(&f.dryRun, "n", "dry-run", "check the files and change nothing")
	sub.Bool(&f.wait, "w", "wait", "wait until every reachable daemon has the new generation")
	return subcommand{sub, func(env *cli.Environment) error {
		return cli.Apply(env, cli.ApplyOptions{
			Operator: f.operator, Files: f.files, BasedOn: f.basedOn, DryRun: f.dryRun, Wait: f.wait,
		})
	}}
}

func (f *flags) diff() subcommand {
	sub := newSubcommand("diff", "compare files with the deployment in force")
	f.addFiles(sub)
	f.addOperator(sub)
	return subcommand{sub, func(env *cli.Environment) error {
		return cli.Diff(env, f.operator, f.files)
	}}
}

func (f *flags) get() subcommand {
	sub := newSubcommand("get", "print the deployment in force as a file that can be applied")
	f.addOperator(sub)
	return subcommand{sub, func(env *cli.Environment) error { return cli.Get(env, f.operator) }}
}

func (f *flags) status() subcommand {
	sub := newSubcommand("status", "show daemons, generations and backend servers")
	f.addOperator(sub)
	return subcommand{sub, func(env *cli.Environment) error { return cli.Status(env, f.operator) }}
}

func (f *flags) report() subcommand {
	sub := newSubcommand("report", "reports: burn")
	kind := ""
	sub.AddPositionalValue(&kind, "kind", 1, false, "burn: how fast each error budget is spent")
	f.addOperator(sub)
	return subcommand{sub, func(env *cli.Environment) error {
		if kind != "burn" {
			return &cli.UsageError{Message: "report: the only report is burn"}
		}
		return cli.ReportBurn(env, f.operator)
	}}
}

func (f *flags) replay() subcommand {
	sub := newSubcommand("replay", "send a recorded trace and check its stated outcomes")
	sub.AddPositionalValue(&f.trace, "trace", 1, false, "trace file (JSON lines)")
	sub.String(&f.replayURL, "u", "url", "where callers send requests")
	sub.Float64(&f.speed, "x", "speed", "send N times as fast as recorded")
	sub.String(&f.operators, "p", "operators", "operator API of any daemon, for the cost")
	return subcommand{sub, func(env *cli.Environment) error {
		return cli.Replay(env, cli.ReplayOptions{
			Trace: f.trace, URL: f.replayURL, Speed: f.speed, Operator: cli.OperatorEndpoint{URL: f.operators},
		})
	}}
}

func (f *flags) experiment() subcommand {
	sub := newSubcommand("experiment", "play a described day over routing policies and fleet sizes, in virtual time")
	options := cli.ExperimentOptions{Seeds: 1, FirstSeed: 1}
	sub.AddPositionalValue(&options.Day, "day", 1, false, "YAML file that describes the day, or a directory of such files")
	sub.StringSlice(&options.Routing, "r", "routing", "policies to compare (default: all)")
	sub.StringSlice(&options.Sizing, "z", "sizing", "fleet sizes to compare: demand, or ON-DEMAND+RECLAIMABLE a zone (default: demand)")
	sub.Int(&options.Seeds, "n", "seeds", "number of seeds that each combination is played with")
	sub.Int(&options.FirstSeed, "s", "first-seed", "first of the seeds")
	sub.Bool(&options.Plot, "p", "plot", "plot the share of the worth earned over the day")
	return subcommand{sub, func(env *cli.Environment) error { return cli.Experiment(env, options) }}
}

func (f *flags) explain() subcommand {
	sub := newSubcommand("explain", "tell from the daemons' logs what happened to a request, and why")
	options := cli.ExplainOptions{}
	sub.AddPositionalValue(&options.RequestID, "request-id", 1, false, "ID of the request")
	sub.StringSlice(&options.Files, "l", "log", "log file of a daemon; may be given several times (default: standard input)")
	sub.Bool(&options.Summary, "a", "summary", "count the causes of all requests that were not served")
	return subcommand{sub, func(env *cli.Environment) error { return cli.Explain(env, options) }}
}

func (f *flags) version() subcommand {
	sub := newSubcommand("version", "print the version")
	return subcommand{sub, func(env *cli.Environment) error { return printVersion(env) }}
}
