package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/operator/history"
)

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "print the log lines about a job, merged from the logs of several VMs by time",
		ArgsUsage: "JOB [LOG...]",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) == 0 {
				return fmt.Errorf("no job given: pass a job and log files, or no files to read standard input")
			}
			var h history.History
			if len(args) == 1 {
				if err := h.Read(os.Stdin, args[0]); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := readLog(&h, name, args[0]); err != nil {
					return err
				}
			}
			if h.UnparsedLines > 0 {
				fmt.Fprintf(c.Root().ErrWriter, "%d lines could not be parsed\n", h.UnparsedLines)
			}
			if len(h.Lines) == 0 {
				return fmt.Errorf("no log line mentions job %s", args[0])
			}
			return h.Write(c.Root().Writer)
		},
	}
}

// readLog adds the lines about a job from the named log file.
func readLog(h *history.History, name, job string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return h.Read(f, job)
}

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "check a platform settings file and print all errors",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("expected one settings file")
			}
			cfg, err := readPlatformSettings(c.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%s in %s: callers %s, store %s\n", cfg.VM, cfg.DataCentre, cfg.Callers, cfg.Store)
			return nil
		},
	}
}
