package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/bench/measure"
	"bamboofall.example/bamboofall/internal/bench/report"
)

// loadMultiples are the offered loads of the benchmark, as multiples of the capacity.
var loadMultiples = []float64{0.5, 0.9, 1.5, 10}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure scheduling decisions against baselines, in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "report", Usage: "directory for a report with plots"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			seed := c.Uint64("seed")
			m := report.Measurements{
				Loads:   measure.Loads(seed, loadMultiples),
				Floods:  measure.Floods(seed),
				Batches: measure.Batches(seed),
			}
			report.WriteTables(c.Root().Writer, m)
			if dir := c.String("report"); dir != "" {
				return report.Write(dir, m)
			}
			return nil
		},
	}
}
