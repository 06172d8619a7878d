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
	// settingsVariable is the environment variable in which the platform passes the
	// path of the settings file.
	settingsVariable = "BAMBOOFALL_CONFIG"
	// defaultMetricsPort is the metrics port that deploy/system.toml declares.
	defaultMetricsPort = 9464
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the entry daemon on a VM of the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Sources: cli.EnvVars(settingsVariable), Usage: "platform settings file"},
			&cli.Uint16Flag{Name: "metrics-port", Value: defaultMetricsPort, Usage: "port that serves the metrics"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			cfg, err := readPlatformSettings(path)
			if err != nil {
				return err
			}
			collector.Configure(int64(cfg.Machine.MemoryBytes))
			engine, err := httpclient.NewEngine()
			if err != nil {
				return err
			}
			defer engine.Stop()
			log := front.NewLog(os.Stdout, cfg.VM)
			logContext, stopLog := context.WithCancel(context.Background())
			logDone := make(chan error, 1)
			go func() { logDone <- log.Run(logContext) }()
			err = front.New(path, cfg, engine, log).Run(context.WithoutCancel(ctx), c.Uint16("metrics-port"))
			stopLog()
			if logErr := <-logDone; err == nil {
				err = logErr
			}
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			return nil
		},
	}
}

// readPlatformSettings reads and validates a settings file of the platform.
func readPlatformSettings(path string) (*platform.Settings, error) {
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}
