package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/entry/front"
	"bamboofall.example/bamboofall/internal/run/collector"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
	"bamboofall.example/bamboofall/platform"
)

const (
	// settingsVariable names the settings file on the platform.
	settingsVariable = "BAMBOOFALL_CONFIG"
	// defaultMetricsPort is the port that deploy/system.toml names.
	defaultMetricsPort = 9464
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Sources: cli.EnvVars(settingsVariable), Usage: "settings file of the platform"},
			&cli.Uint16Flag{Name: "metrics-port", Value: defaultMetricsPort, Usage: "port of the metrics page"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			set, err := readPlatformSettings(path)
			if err != nil {
				return err
			}
			collector.Set(int64(set.Machine.MemoryBytes))
			engine, err := httpclient.NewEngine()
			if err != nil {
				return err
			}
			defer engine.Stop()
			log := front.NewLog(os.Stdout, set.VM)
			logContext, stopLog := context.WithCancel(context.Background())
			written := make(chan error, 1)
			go func() { written <- log.Run(logContext) }()
			err = front.New(path, set, engine, log).Run(context.WithoutCancel(ctx), c.Uint16("metrics-port"))
			stopLog()
			if logErr := <-written; err == nil {
				err = logErr
			}
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			return nil
		},
	}
}

func readPlatformSettings(path string) (*platform.Settings, error) {
	set, err := platform.ReadSettings(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return set, nil
}
