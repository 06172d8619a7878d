package command

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/dev/session"
	"bamboofall.example/bamboofall/internal/standin/site"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name: "dev", Usage: "run a complete deployment in this process, with stand-ins for the platform and workers and a small load",
		Flags: []cli.Flag{
			outputFlag,
			&cli.StringFlag{Name: "config", Value: "examples/gasbag.ini", Usage: "deployment file (INI)"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "duration of the load"},
			&cli.StringFlag{Name: "log-level", Value: "warning", Usage: "level of the daemons' logs on standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			d, err := site.ReadDeployment(c.String("config"))
			if err != nil {
				return err
			}
			logger, err := newLogger(c.Root().ErrWriter, c.String("log-level"))
			if err != nil {
				return err
			}
			var progress io.Writer = c.Root().Writer
			if c.String("output") == "json" {
				progress = c.Root().ErrWriter
			}
			s, err := session.Start(d, progress)
			if err != nil {
				return err
			}
			defer s.Stop()
			s.StartDaemons(logger)
			summary, err := s.Run(ctx, c.Duration("for"))
			if err != nil {
				return err
			}
			return printSummary(c, summary)
		},
	}
}

func printSummary(c *cli.Command, summary *session.Summary) error {
	if c.String("output") == "json" {
		if err := summary.WriteJSON(c.Root().Writer); err != nil {
			return err
		}
	} else {
		summary.WriteText(c.Root().Writer)
	}
	if summary.Broken() {
		return &exitError{exitRejected, "a guarantee was violated; see the summary"}
	}
	return nil
}
