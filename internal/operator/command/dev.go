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
		Name: "dev", Usage: "run a whole deployment with stand-ins and a small load in this process",
		Flags: []cli.Flag{
			outputFlag,
			&cli.StringFlag{Name: "config", Value: "examples/gasbag.ini", Usage: "INI file with the deployment"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long to make load"},
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
			sum, err := s.Run(ctx, c.Duration("for"))
			if err != nil {
				return err
			}
			return showSummary(c, sum)
		},
	}
}

func showSummary(c *cli.Command, sum *session.Summary) error {
	if c.String("output") == "json" {
		if err := sum.WriteJSON(c.Root().Writer); err != nil {
			return err
		}
	} else {
		sum.WriteText(c.Root().Writer)
	}
	if sum.Broken() {
		return &exitError{exitRefused, "a promise was broken"}
	}
	return nil
}
