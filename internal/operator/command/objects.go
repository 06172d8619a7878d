package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/user"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/operator/client"
)

// readSet reads and checks a whole set of objects.
func readSet(paths []string) ([]object.Object, error) {
	if len(paths) == 0 {
		return nil, errors.New("name at least one file")
	}
	objects, errs := object.CheckFiles(paths)
	return objects, errors.Join(errs...)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a whole set of objects", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			objects, err := readSet(c.Args().Slice())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%d objects are right\n", len(objects))
			return nil
		},
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "put a set of objects in force", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			entryFlag, outputFlag,
			&cli.StringFlag{Name: "id", Usage: "ask what became of an earlier change"},
			&cli.StringSliceFlag{Name: "delete", Usage: "delete an object, as kind/name; may be repeated"},
		},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			res, err := publishOrAsk(ctx, c, cl)
			if err != nil {
				return err
			}
			return showResult(c, res, fmt.Sprintf("in force as revision %d", res.Revision))
		}),
	}
}

func publishOrAsk(ctx context.Context, c *cli.Command, cl *client.Client) (client.Result, error) {
	if id := c.String("id"); id != "" && c.Args().Len() == 0 {
		return cl.Outcome(ctx, id)
	}
	change := client.Change{ID: c.String("id"), Author: author()}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	for _, text := range c.StringSlice("delete") {
		kind, name, ok := strings.Cut(text, "/")
		if !ok {
			return client.Result{}, fmt.Errorf("--delete %q is not kind/name", text)
		}
		change.Deletes = append(change.Deletes, client.Object{Kind: kind, Name: name})
	}
	if c.Args().Len() > 0 || len(change.Deletes) == 0 {
		objects, err := readPublished(ctx, c.Args().Slice(), cl, change.Deletes)
		if err != nil {
			return client.Result{}, err
		}
		change.Objects = client.FromObjects(objects)
	}
	res, err := cl.Publish(ctx, change)
	if err != nil {
		// The question may have arrived. The id tells what became of it.
		return client.Result{ID: change.ID, Status: "unknown", Reason: err.Error()}, nil
	}
	return res, nil
}

// readPublished reads objects and checks them together with those in force.
func readPublished(ctx context.Context, paths []string, cl *client.Client, deletes []client.Object) ([]object.Object, error) {
	if len(paths) == 0 {
		return nil, errors.New("name at least one file")
	}
	objects, errs := object.ReadFiles(paths)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	inForce, err := cl.Objects(ctx, "", "")
	if err != nil {
		return nil, err
	}
	merged, err := merge(objects, inForce, deletes)
	if err != nil {
		return nil, err
	}
	return objects, errors.Join(object.Check(merged)...)
}

// merge returns new objects and those in force that they do not replace.
func merge(objects []object.Object, inForce, deletes []client.Object) ([]object.Object, error) {
	taken := make(map[object.Key]bool)
	for _, o := range objects {
		taken[o.Key] = true
	}
	for _, o := range deletes {
		taken[object.Key{Kind: object.Kind(o.Kind), Name: o.Name}] = true
	}
	merged := append([]object.Object{}, objects...)
	for _, o := range inForce {
		one, err := o.Object()
		if err != nil {
			return nil, err
		}
		if !taken[one.Key] {
			merged = append(merged, one)
		}
	}
	return merged, nil
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print the objects in force as INI", ArgsUsage: "[KIND [NAME]]",
		Flags: []cli.Flag{entryFlag, outputFlag},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			objects, err := cl.Objects(ctx, c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return writeJSON(c.Root().Writer, objects)
			}
			for i, o := range objects {
				if i > 0 {
					fmt.Fprintln(c.Root().Writer)
				}
				fmt.Fprintf(c.Root().Writer, "[%s %q]\n", o.Kind, o.Name)
				for _, f := range o.Fields {
					fmt.Fprintf(c.Root().Writer, "%s = %s\n", f.Key, f.Value)
				}
			}
			return nil
		}),
	}
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// showResult prints the end of a question and returns its exit status.
func showResult(c *cli.Command, res client.Result, text string) error {
	if c.String("output") == "json" {
		if err := writeJSON(c.Root().Writer, res); err != nil {
			return err
		}
	} else if res.Status == "inForce" {
		fmt.Fprintln(c.Root().Writer, text)
	}
	return resultError(res)
}
