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

const watchEvery = time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the entry VMs, shards and runs as one entry VM sees them",
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

func writeStatus(w io.Writer, st client.Status) {
	state := "ready"
	switch {
	case !st.Ready:
		state = "has no state yet"
	case st.LogDown:
		state = "log does not answer"
	}
	if !st.FenceOpen {
		state += ", does not act as owner"
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tDATA CENTRE\tSTATUS\tREVISION\tLAGS")
	newest := st.Revision
	for _, m := range st.Members {
		newest = max(newest, m.Revision)
	}
	fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", st.VM, st.DataCentre, state, st.Revision, lag(newest, st.Revision))
	for _, m := range st.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", m.VM, m.DataCentre, m.Status, m.Revision, lag(newest, m.Revision))
	}
	fmt.Fprintln(t, "\nSHARD\tOWNER\tTOKEN")
	for _, s := range st.Shards {
		fmt.Fprintf(t, "%d\t%s\t%d\n", s.Shard, s.Owner, s.Token)
	}
	_ = t.Flush()
}

func lag(newest, revision uint64) string {
	if revision >= newest {
		return "no"
	}
	return fmt.Sprintf("by %d", newest-revision)
}

func writeRuns(w io.Writer, runs []client.Run) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nRUN\tTRADE\tCLASS\tPENDING\tOPEN\tFINISHED\tFAILED\tCANCELLED\tWAITS FOR")
	for _, r := range runs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Run, r.Trade, r.Class, r.Tasks["pending"],
			r.Tasks["open"], r.Tasks["finished"], r.Tasks["failed"], r.Tasks["cancelled"], reasons(r.Waiting))
	}
	_ = t.Flush()
}

func reasons(waiting map[string]int) string {
	var parts []string
	for why, n := range waiting {
		parts = append(parts, fmt.Sprintf("%s (%d)", why, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "follow runs until they end", ArgsUsage: "[RUN]",
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
				last = showChanged(c, runs, last)
				if name != "" && ended(runs[0]) {
					return nil
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(watchEvery):
				}
			}
		}),
	}
}

// showChanged prints the runs if they differ from what was printed last.
func showChanged(c *cli.Command, runs []client.Run, last string) string {
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

func ended(r client.Run) bool { return r.Tasks["pending"]+r.Tasks["open"] == 0 }

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "start a run of a job; the same run name starts it once", ArgsUsage: "JOB RUN",
		Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("submit takes a job and the name of the run")
			}
			res, err := cl.Submit(ctx, c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return unknownSubmit(c.Args().Get(1), err)
			}
			if res.Status == "unknown" {
				return unknownSubmit(c.Args().Get(1), fmt.Errorf("%s", res.Reason))
			}
			return showResult(c, res, "run "+c.Args().Get(1)+" is accepted")
		}),
	}
}

func unknownSubmit(run string, err error) error {
	return &exitError{exitUnknown, fmt.Sprintf("unknown: submit run %s again, it starts once: %v", run, err)}
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a run", ArgsUsage: "RUN", Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("cancel takes the name of a run")
			}
			res, err := cl.Cancel(ctx, c.Args().First())
			if err != nil {
				return err
			}
			return showResult(c, res, "run "+c.Args().First()+" is cancelled")
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell what was decided about a thing, when, where and why",
		ArgsUsage: "KIND NAME (task RUN or RUN/INDEX, job NAME, vm NAME, shard NUMBER, change ID, log STREAM, request SERVICE/KIND)",
		Flags:     []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("explain takes a kind and a name")
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
				fmt.Fprintln(c.Root().Writer, "nothing is recorded about it")
			}
			return nil
		}),
	}
}
