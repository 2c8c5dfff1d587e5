// Package commander implements the command line. It translates flags and settings into
// the configurations of the other packages and contains no other logic.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/pomeloferry/pomeloferry/provider"
)

// environment holds the dependencies of all commands.
type environment struct {
	ctx  context.Context
	deps provider.Deps
	out  io.Writer
	// hangups receives SIGHUP in the processes of the serve command, from their start.
	hangups chan os.Signal
}

// commandLine holds the commands and the flags that they share.
type commandLine struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Least severe log lines to write (${enum})."`

	Serve      serveCommand      `cmd:"" help:"Run a process on the platform's machines."`
	Entry      entryCommand      `cmd:"" help:"Run an entry: takes callers' requests and owns submissions."`
	Agent      agentCommand      `cmd:"" help:"Run an agent: starts tasks on the upstream beside it."`
	Store      storeCommand      `cmd:"" help:"Run a stand-in for the platform's key-value service."`
	Upstream   upstreamCommand   `cmd:"" help:"Run a stand-in for an upstream."`
	Demo       demoCommand       `cmd:"" help:"Run a whole deployment on loopback, submit jobs and stop."`
	Submit     submitCommand     `cmd:"" help:"Submit a job and print its answer."`
	State      stateCommand      `cmd:"" help:"Print the state of a job."`
	Cancel     cancelCommand     `cmd:"" help:"Cancel a job."`
	Load       loadCommand       `cmd:"" help:"Send a workload to a deployment on loopback and measure it."`
	Dump       dumpCommand       `cmd:"" help:"Print the state of a process."`
	Bundle     bundleCommand     `cmd:"" help:"Check, approve, publish and read configuration bundles."`
	DataCentre dataCentreCommand `cmd:"" help:"Take data centres out and bring them back."`
	Check      checkFileCommand  `cmd:"" help:"Check a configuration before it is sent."`
	Settings   settingsCommand   `cmd:"" help:"Check a settings file."`
}

// Main runs the command line in args and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	// The processes of the serve command reload their settings on SIGHUP. All other
	// commands end on it.
	hangups := make(chan os.Signal, 1)
	isServe := len(args) > 0 && args[0] == "serve"
	if isServe {
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
	}
	var line commandLine
	status := -1
	parser, err := kong.New(&line,
		kong.Name("pomeloferry"),
		kong.Description("Dispatches sub-second tasks to workers."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { status = code }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	kctx, err := parser.Parse(args)
	if status >= 0 {
		return status
	}
	if err != nil {
		fmt.Fprintln(stderr, "pomeloferry:", err)
		return 2
	}
	deps := provider.NewDeps(stderr)
	level, err := logrus.ParseLevel(line.LogLevel)
	if err == nil {
		deps.Log.Logger.SetLevel(level)
	}
	endSignals := []os.Signal{syscall.SIGINT, syscall.SIGTERM}
	if !isServe {
		endSignals = append(endSignals, syscall.SIGHUP)
	}
	ctx, stop := signal.NotifyContext(context.Background(), endSignals...)
	defer stop()
	if err := kctx.Run(&environment{ctx: ctx, deps: deps, out: stdout, hangups: hangups}); err != nil {
		return reportExit(stderr, err)
	}
	return 0
}
