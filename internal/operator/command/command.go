// Package command implements the commands of the bamboofall program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/config/settings"
	"bamboofall.example/bamboofall/internal/entry/daemon"
	"bamboofall.example/bamboofall/internal/operator/client"
	"bamboofall.example/bamboofall/internal/standin/platformapi"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// The exit statuses.
const (
	// The exit statuses of the program.
	exitOK = iota
	// exitRejected means that the input was invalid or the request was rejected.
	exitRejected
	// exitUnknown means that the outcome of the request is not known.
	exitUnknown
)

// exitError is an error that ends the program with a given status.
type exitError struct {
	status  int
	message string
}

func (e *exitError) Error() string { return e.message }

// Main runs the program and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "bamboofall",
		Usage:          "schedule latency-critical services and batch work on shared VMs",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), checkSettingsCommand(), historyCommand(), entryCommand(), checkCommand(), publishCommand(), getCommand(), statusCommand(), watchCommand(),
			submitCommand(), cancelCommand(), explainCommand(), devCommand(), benchCommand(),
		},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	if message := err.Error(); message != "" {
		fmt.Fprintln(stderr, message)
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitRejected
}

// entryFlag names the entry VMs to call.
var entryFlag = &cli.StringSliceFlag{
	Name: "entry", Usage: "address of an entry VM; may be repeated", Sources: cli.EnvVars("BAMBOOFALL_ENTRY"),
}

// outputFlag selects the format of the output.
var outputFlag = &cli.StringFlag{
	Name: "output", Value: "table", Usage: "table or json",
	Validator: func(v string) error {
		if v != "table" && v != "json" {
			return fmt.Errorf("output %q is not table or json", v)
		}
		return nil
	},
}

// newClient returns a client of the entry VMs that the flags name, and a function that
// closes its connections.
func newClient(c *cli.Command) (*client.Client, func(), error) {
	var entries []netip.AddrPort
	for _, text := range c.StringSlice("entry") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, nil, fmt.Errorf("--entry: %w", err)
		}
		entries = append(entries, a)
	}
	if len(entries) == 0 {
		return nil, nil, errors.New("no entry VM given: set --entry ADDRESS:PORT or BAMBOOFALL_ENTRY")
	}
	engine, err := httpclient.NewEngine()
	if err != nil {
		return nil, nil, err
	}
	return client.New(httpclient.New(engine), entries...), engine.Stop, nil
}

// withClient returns an action that runs f with a client of the entry VMs.
func withClient(f func(ctx context.Context, c *cli.Command, cl *client.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		cl, stop, err := newClient(c)
		if err != nil {
			return err
		}
		defer stop()
		return f(ctx, c, cl)
	}
}

// newLogger returns a logger that writes JSON lines of at least the given level.
func newLogger(w io.Writer, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l.SetLevel(parsed)
	return l, nil
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon of an entry VM",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Required: true, Usage: "settings file (INI)"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := settings.ReadFile(c.String("config"))
			if err != nil {
				return err
			}
			logger, err := newLogger(os.Stderr, cfg.LogLevel)
			if err != nil {
				return err
			}
			engine, err := httpclient.NewEngine()
			if err != nil {
				return err
			}
			defer engine.Stop()
			platform := platformapi.NewClient(httpclient.New(engine), cfg.Platform, cfg.DataCentre)
			return daemon.New(cfg, platform, engine, logger).Run(ctx)
		},
	}
}

// resultError returns an error with the exit status for a result, or nil if the change
// is in force.
func resultError(res client.Result) error {
	switch res.Status {
	case "inForce":
		return nil
	case "unknown":
		return &exitError{exitUnknown, fmt.Sprintf("outcome unknown: query it with --id %s", res.ID)}
	}
	message := res.Status + ": " + res.Reason
	if len(res.Elsewhere) > 0 {
		message += "; try one of " + strings.Join(res.Elsewhere, ", ")
	}
	return &exitError{exitRejected, message}
}
