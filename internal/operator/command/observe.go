package command

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/operator/client"
)

// watchInterval is the interval at which watch polls the runs.
const watchInterval = time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the entry VMs, shards and runs as seen by one entry VM",
		Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			st, err := cl.Status(ctx)
			if err != nil {
				return err
			}
			runs, err := cl.Runs(ctx, "")
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return writeJSON(c.Root().Writer, struct {
					client.Status
					Runs []client.Run `json:"runs"`
				}{st, runs})
			}
			writeStatus(c.Root().Writer, st)
			writeRuns(c.Root().Writer, runs)
			return nil
		}),
	}
}

// writeStatus prints an entry VM with its view of the other entry VMs and of the
// shards.
func writeStatus(w io.Writer, st client.Status) {
	state := "ready"
	switch {
	case !st.Ready:
		state = "no state yet"
	case st.LogDown:
		state = "log not responding"
	}
	if !st.FenceOpen {
		state += ", not acting as owner"
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tDATA CENTRE\tSTATUS\tREVISION\tLAGS")
	newest := st.Revision
	for _, m := range st.Members {
		newest = max(newest, m.Revision)
	}
	fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", st.VM, st.DataCentre, state, st.Revision, formatLag(newest, st.Revision))
	for _, m := range st.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", m.VM, m.DataCentre, m.Status, m.Revision, formatLag(newest, m.Revision))
	}
	fmt.Fprintln(t, "\nSHARD\tOWNER\tTOKEN")
	for _, s := range st.Shards {
		fmt.Fprintf(t, "%d\t%s\t%d\n", s.Shard, s.Owner, s.Token)
	}
	_ = t.Flush()
}

// formatLag formats how many revisions a VM lags behind the newest.
func formatLag(newest, revision uint64) string {
	if revision >= newest {
		return "no"
	}
	return fmt.Sprintf("by %d", newest-revision)
}

// writeRuns prints a table of runs.
func writeRuns(w io.Writer, runs []client.Run) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nRUN\tTRADE\tCLASS\tPENDING\tOPEN\tFINISHED\tFAILED\tCANCELLED\tWAITS FOR")
	for _, r := range runs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Run, r.Trade, r.Class, r.Tasks["pending"],
			r.Tasks["open"], r.Tasks["finished"], r.Tasks["failed"], r.Tasks["cancelled"], formatReasons(r.Waiting))
	}
	_ = t.Flush()
}

// formatReasons formats the number of waiting tasks by reason.
func formatReasons(waiting map[string]int) string {
	var parts []string
	for reason, n := range waiting {
		parts = append(parts, fmt.Sprintf("%s (%d)", reason, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "print runs whenever they change, until the named run ends", ArgsUsage: "[RUN]",
		Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			name := c.Args().First()
			last := ""
			for {
				runs, err := cl.Runs(ctx, name)
				if err != nil {
					return err
				}
				if name != "" && len(runs) == 0 {
					return fmt.Errorf("run %q does not exist in this data centre", name)
				}
				last = printIfChanged(c, runs, last)
				if name != "" && hasEnded(runs[0]) {
					return nil
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(watchInterval):
				}
			}
		}),
	}
}

// printIfChanged prints the runs if the text differs from last, and returns the text.
func printIfChanged(c *cli.Command, runs []client.Run, last string) string {
	var text strings.Builder
	if c.String("output") == "json" {
		_ = writeJSON(&text, runs)
	} else {
		writeRuns(&text, runs)
	}
	if text.String() != last {
		fmt.Fprint(c.Root().Writer, text.String())
	}
	return text.String()
}

// hasEnded reports whether no task of a run is pending or open.
func hasEnded(r client.Run) bool { return r.Tasks["pending"]+r.Tasks["open"] == 0 }

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "start a run of a job; repeating it with the same run name has no effect", ArgsUsage: "JOB RUN",
		Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("expected a job and a name for the run")
			}
			res, err := cl.Submit(ctx, c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return unknownSubmitError(c.Args().Get(1), err)
			}
			if res.Status == "unknown" {
				return unknownSubmitError(c.Args().Get(1), fmt.Errorf("%s", res.Reason))
			}
			return printResult(c, res, "run "+c.Args().Get(1)+" accepted")
		}),
	}
}

// unknownSubmitError returns the error for a submission whose outcome is not known.
func unknownSubmitError(run string, err error) error {
	return &exitError{exitUnknown, fmt.Sprintf("outcome unknown: submit run %s again, it will not start twice: %v", run, err)}
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a run", ArgsUsage: "RUN", Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("expected the name of a run")
			}
			res, err := cl.Cancel(ctx, c.Args().First())
			if err != nil {
				return err
			}
			return printResult(c, res, "run "+c.Args().First()+" cancelled")
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the recorded decisions about an entity, with time, VM and reason",
		ArgsUsage: "KIND NAME (task RUN or RUN/INDEX, job NAME, vm NAME, shard NUMBER, change ID, log STREAM, request SERVICE/KIND)",
		Flags:     []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("expected a kind and a name")
			}
			decisions, err := cl.Explain(ctx, c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return writeJSON(c.Root().Writer, decisions)
			}
			for _, d := range decisions {
				fmt.Fprintf(c.Root().Writer, "%s  %s  %s %s: %s\n",
					d.At.Format("2006-01-02 15:04:05.000"), d.VM, d.Kind, d.Name, d.Message)
			}
			if len(decisions) == 0 {
				fmt.Fprintln(c.Root().Writer, "no decisions are recorded")
			}
			return nil
		}),
	}
}
