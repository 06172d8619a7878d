// Package report writes measurements as a Markdown page with tables and plots.
package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"bamboofall.example/bamboofall/internal/bench/measure"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Measurements are the figures shown in a report.
type Measurements struct {
	Loads   []measure.Load
	Floods  []measure.Flood
	Batches []measure.Batch
}

// Write writes the page and its plots into a folder.
func Write(dir string, m Measurements) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	page, err := os.Create(filepath.Join(dir, "report.md"))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer page.Close()
	WriteTables(page, m)
	fmt.Fprint(page, "\n![latency against load](latency.svg)\n\n![batch work against tail latency](batch.svg)\n")
	if err := plotLoads(filepath.Join(dir, "latency.svg"), m.Loads); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := plotBatches(filepath.Join(dir, "batch.svg"), m.Batches); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// WriteTables writes the tables in Markdown.
func WriteTables(w io.Writer, m Measurements) {
	fmt.Fprint(w, "# Measurements in virtual time\n\n## Latency against load\n\nPercentiles of the slowest kind, in ms. Goodput is the rate of answered requests as a fraction of the capacity.\n\n")
	fmt.Fprint(w, "| load | goodput | baseline | p50 | baseline | p99 | baseline | p99.9 | baseline | p99 ratio |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, l := range m.Loads {
		measured, baseline := l.Bamboofall, l.Baseline
		fmt.Fprintf(w, "| %.1f | %.2f | %.2f | %s | %s | %s | %s | %s | %s | %.2f |\n", l.Multiple, measured.Goodput(), baseline.Goodput(),
			ms(measured.P50), ms(baseline.P50), ms(measured.P99), ms(baseline.P99), ms(measured.P999), ms(baseline.P999), ratio(measured.P99, baseline.P99))
	}
	fmt.Fprint(w, "\n## Service of the other kinds during a flood of one kind at ten times the capacity\n\n")
	fmt.Fprint(w, "| flooding kind | kind | answered | baseline | p99 before | p99 during the flood | ratio | baseline p99 |\n|---|---|---|---|---|---|---|---|\n")
	for _, f := range m.Floods {
		fmt.Fprintf(w, "| %s | %s | %.1f%% | %.1f%% | %s | %s | %.2f | %s |\n", f.FloodKind, f.Kind, answeredPercent(f.Bamboofall), answeredPercent(f.Baseline),
			ms(f.Before.P99), ms(f.Bamboofall.P99), ratio(f.Bamboofall.P99, f.Before.P99), ms(f.Baseline.P99))
	}
	fmt.Fprint(w, "\n## Batch tasks and a service on the same VMs, two minutes\n\n")
	fmt.Fprint(w, "| policy | p50 | p99 | tasks finished | work done | work lost | evictions | VMs overcommitted |\n|---|---|---|---|---|---|---|---|\n")
	for _, b := range m.Batches {
		fmt.Fprintf(w, "| %s | %s | %s | %d | %v | %v | %d | %d |\n", b.Policy, ms(b.P50), ms(b.P99), b.Finished,
			b.WorkDone.Round(time.Second), b.WorkLost.Round(time.Second), b.Evictions, b.Overcommit)
	}
}

// ms formats a duration in whole milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()*1000) }

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// answeredPercent returns the answered percentage of the sent requests.
func answeredPercent(f measure.Figures) float64 {
	if f.Sent == 0 {
		return 0
	}
	return 100 * float64(f.Answered) / float64(f.Sent)
}

// plotLoads plots the p99 of the usual load against the offered rate.
func plotLoads(path string, loads []measure.Load) error {
	var measured, baseline plotter.XYs
	for _, l := range loads {
		measured = append(measured, plotter.XY{X: l.Multiple, Y: l.Bamboofall.P99.Seconds() * 1000})
		baseline = append(baseline, plotter.XY{X: l.Multiple, Y: l.Baseline.P99.Seconds() * 1000})
	}
	p := plot.New()
	p.Title.Text = "p99 of answered requests"
	p.X.Label.Text = "offered load / capacity"
	p.Y.Label.Text = "ms"
	if err := plotutil.AddLinePoints(p, "bamboofall", measured, "baseline", baseline); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotBatches plots the batch work done against the p99 of the service.
func plotBatches(path string, batches []measure.Batch) error {
	p := plot.New()
	p.Title.Text = "batch throughput against tail latency of the service"
	p.X.Label.Text = "p99 of the service, ms"
	p.Y.Label.Text = "run time of finished tasks, minutes"
	for i, b := range batches {
		points, err := plotter.NewScatter(plotter.XYs{{X: b.P99.Seconds() * 1000, Y: b.WorkDone.Minutes()}})
		if err != nil {
			return err
		}
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(points)
		p.Legend.Add(b.Policy, points)
	}
	p.Add(plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, path)
}
