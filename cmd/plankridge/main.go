// Command plankridge is the daemon of every entry VM and the client for
// operators. It only reads the command line; package cli does the work.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/plankridge/plankridge/internal/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, kill := shutdownContexts()
	env := &cli.Environment{Context: ctx, Kill: kill, Reload: reloads(), Stdout: os.Stdout, Stderr: os.Stderr, Output: cli.OutputTable}
	command := parse(os.Args[1:])
	env.Output = cli.Output(command.output)
	if err := env.Output.Check(); err != nil {
		return cli.ExitCode(env, err)
	}
	return cli.ExitCode(env, command.run(env))
}

// shutdownContexts returns a context that ends at the first SIGINT or SIGTERM
// and one that ends at the second.
func shutdownContexts() (graceful, kill context.Context) {
	graceful, stop := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
		<-signals
		end()
	}()
	return graceful, kill
}

// reloads returns a channel that tells of each SIGHUP.
func reloads() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// version returns the version that the build has recorded.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

func printVersion(env *cli.Environment) error {
	_, err := fmt.Fprintln(env.Stdout, "plankridge", version())
	return err
}
