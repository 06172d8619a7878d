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

// readObjects reads a set of objects from files and validates it as a whole.
func readObjects(paths []string) ([]object.Object, error) {
	if len(paths) == 0 {
		return nil, errors.New("no file given")
	}
	objects, errs := object.CheckFiles(paths)
	return objects, errors.Join(errs...)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a set of objects", ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			objects, err := readObjects(c.Args().Slice())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%d objects are valid\n", len(objects))
			return nil
		},
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "publish a set of objects", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			entryFlag, outputFlag,
			&cli.StringFlag{Name: "id", Usage: "id of an earlier change whose outcome to query"},
			&cli.StringSliceFlag{Name: "delete", Usage: "delete an object, as kind/name; may be repeated"},
		},
		Action: withClient(func(ctx context.Context, c *cli.Command, cl *client.Client) error {
			res, err := publishOrQuery(ctx, c, cl)
			if err != nil {
				return err
			}
			return printResult(c, res, fmt.Sprintf("in force as revision %d", res.Revision))
		}),
	}
}

// publishOrQuery publishes a change, or queries the outcome of an earlier one if an id
// but no file is given.
func publishOrQuery(ctx context.Context, c *cli.Command, cl *client.Client) (client.Result, error) {
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
			return client.Result{}, fmt.Errorf("--delete %q is not of the form kind/name", text)
		}
		change.Deletes = append(change.Deletes, client.Object{Kind: kind, Name: name})
	}
	if c.Args().Len() > 0 || len(change.Deletes) == 0 {
		objects, err := readAndCheckMerged(ctx, c.Args().Slice(), cl, change.Deletes)
		if err != nil {
			return client.Result{}, err
		}
		change.Objects = client.FromObjects(objects)
	}
	res, err := cl.Publish(ctx, change)
	if err != nil {
		// The change may have arrived. Its outcome can be queried by the id.
		return client.Result{ID: change.ID, Status: "unknown", Reason: err.Error()}, nil
	}
	return res, nil
}

// readAndCheckMerged reads the objects to publish and validates them together with the
// objects in force that remain.
func readAndCheckMerged(ctx context.Context, paths []string, cl *client.Client, deletes []client.Object) ([]object.Object, error) {
	if len(paths) == 0 {
		return nil, errors.New("no file given")
	}
	objects, errs := object.ReadFiles(paths)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	inForce, err := cl.Objects(ctx, "", "")
	if err != nil {
		return nil, err
	}
	merged, err := mergeObjects(objects, inForce, deletes)
	if err != nil {
		return nil, err
	}
	return objects, errors.Join(object.Check(merged)...)
}

// mergeObjects returns the new objects and those in force that are neither replaced
// nor deleted.
func mergeObjects(objects []object.Object, inForce, deletes []client.Object) ([]object.Object, error) {
	replaced := make(map[object.Key]bool)
	for _, o := range objects {
		replaced[o.Key] = true
	}
	for _, o := range deletes {
		replaced[object.Key{Kind: object.Kind(o.Kind), Name: o.Name}] = true
	}
	merged := append([]object.Object{}, objects...)
	for _, o := range inForce {
		published, err := o.Object()
		if err != nil {
			return nil, err
		}
		if !replaced[published.Key] {
			merged = append(merged, published)
		}
	}
	return merged, nil
}

// author returns the user name that is recorded with a change.
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

// printResult prints a result and returns the error for its exit status.
func printResult(c *cli.Command, res client.Result, text string) error {
	if c.String("output") == "json" {
		if err := writeJSON(c.Root().Writer, res); err != nil {
			return err
		}
	} else if res.Status == "inForce" {
		fmt.Fprintln(c.Root().Writer, text)
	}
	return resultError(res)
}
