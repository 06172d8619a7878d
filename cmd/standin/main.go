// Command standin runs the stand-ins of a deployment for entry daemons in
// processes of their own. It writes the daemons' settings, generates load, and
// prints a summary of what it counted. It fails if a guarantee was violated.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/dev/session"
	"bamboofall.example/bamboofall/internal/standin/site"
)

var errGuaranteeViolated = errors.New("a guarantee was violated; see the summary")

func main() {
	root := &cli.Command{
		Name:  "standin",
		Usage: "run the stand-ins of a deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: "examples/gasbag.ini", Usage: "INI file with the deployment"},
			&cli.StringFlag{Name: "settings", Required: true, Usage: "folder for the settings files of the entry VMs"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "how long to generate load"},
		},
		Action: run,
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	d, err := site.ReadDeployment(c.String("config"))
	if err != nil {
		return err
	}
	s, err := session.Start(d, os.Stderr)
	if err != nil {
		return err
	}
	defer s.Stop()
	if err := s.WriteSettings(c.String("settings")); err != nil {
		return err
	}
	sum, err := s.Run(ctx, c.Duration("for"))
	if err != nil {
		return err
	}
	if err := sum.WriteJSON(os.Stdout); err != nil {
		return err
	}
	if sum.Broken() {
		return errGuaranteeViolated
	}
	return nil
}
