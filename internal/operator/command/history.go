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
		Usage:     "print what logs say of a job, in order over several VMs",
		ArgsUsage: "JOB [LOG...]",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) == 0 {
				return fmt.Errorf("name a job, and logs or nothing for standard input")
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
			if h.Unreadable > 0 {
				fmt.Fprintf(c.Root().ErrWriter, "%d lines are no log lines\n", h.Unreadable)
			}
			if len(h.Lines) == 0 {
				return fmt.Errorf("no line names job %s", args[0])
			}
			return h.Write(c.Root().Writer)
		},
	}
}

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
		Usage:     "check a settings file of the platform and print all faults",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("name one settings file")
			}
			set, err := readPlatformSettings(c.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%s in %s: callers %s, store %s\n", set.VM, set.DataCentre, set.Callers, set.Store)
			return nil
		},
	}
}
