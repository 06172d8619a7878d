// Package client is a client of the operators' HTTP interface of entry VMs.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"bamboofall.example/bamboofall/internal/config/inifile"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// callTimeout bounds a call to one entry VM.
const callTimeout = 15 * time.Second

// Client calls entry VMs. Use New.
type Client struct {
	http    *httpclient.Client
	entries []netip.AddrPort
}

// New returns a client of one or more entry VMs. Each call goes to the first to which
// a connection can be opened.
func New(c *httpclient.Client, entries ...netip.AddrPort) *Client {
	return &Client{http: c, entries: entries}
}

// Result is the outcome of a published change, a submission or a cancellation.
type Result struct {
	// ID identifies the change, submission or cancellation.
	ID string `json:"id"`
	// Status is inForce, void, refused or unknown.
	Status string `json:"status"`
	// Revision is the configuration revision with which a published change took
	// effect.
	Revision uint64 `json:"revision,omitempty"`
	// Reason says why the request was not successful.
	Reason string `json:"reason,omitempty"`
	// Elsewhere lists the entry VMs that can answer instead.
	Elsewhere []string `json:"elsewhere,omitempty"`
}

// Field is a key of an object with its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Object is a published configuration object.
type Object struct {
	Kind   string  `json:"kind"`
	Name   string  `json:"name"`
	Fields []Field `json:"fields,omitempty"`
	// Version is the version of the published object; zero in a change.
	Version uint64 `json:"version,omitempty"`
}

// Change is a set of objects to publish and to delete.
type Change struct {
	ID      string   `json:"id"`
	Author  string   `json:"author"`
	Objects []Object `json:"objects"`
	Deletes []Object `json:"deletes"`
}

// Member is an entry VM as seen by another one.
type Member struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Status     string `json:"status"`
	Revision   uint64 `json:"revision"`
	// SilentMS is the time since the last message from the member, in milliseconds.
	SilentMS int64 `json:"silentMs"`
}

// Shard is the ownership of a shard. Token is its fencing token.
type Shard struct {
	Shard int    `json:"shard"`
	Owner string `json:"owner"`
	Token uint64 `json:"token"`
}

// Status is the state of an entry VM.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Revision   uint64 `json:"revision"`
	// Ready is set once the VM has loaded its state.
	Ready bool `json:"ready"`
	// LogDown is set while the log does not respond.
	LogDown bool `json:"logDown"`
	// FenceOpen is set while the VM may act as owner of its shards.
	FenceOpen bool `json:"fenceOpen"`
	// Active lists the shards that the VM serves as owner.
	Active  []int    `json:"activeShards"`
	Shards  []Shard  `json:"shards"`
	Members []Member `json:"members"`
}

// Run is a run of a job.
type Run struct {
	Run       string `json:"run"`
	Job       string `json:"job"`
	Trade     string `json:"trade"`
	Class     string `json:"class"`
	Cancelled bool   `json:"cancelled"`
	// Tasks holds the number of tasks by state.
	Tasks map[string]int `json:"tasks"`
	// Waiting holds the number of waiting tasks by what they wait for.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// Decision is a recorded decision, as explain prints it.
type Decision struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
}

// FromObjects converts objects to the form in which they are published.
func FromObjects(objects []object.Object) []Object {
	var published []Object
	for _, o := range objects {
		converted := Object{Kind: string(o.Kind), Name: o.Name}
		for _, k := range o.Section.Keys {
			converted.Fields = append(converted.Fields, Field{k.Name, k.Value})
		}
		published = append(published, converted)
	}
	return published
}

// Publish publishes a change.
func (c *Client) Publish(ctx context.Context, change Change) (Result, error) {
	return c.requestResult(ctx, http.MethodPost, "/v1/changes", change)
}

// Outcome returns the outcome of a change that was published earlier.
func (c *Client) Outcome(ctx context.Context, id string) (Result, error) {
	return c.requestResult(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil)
}

// Submit starts a run of a job.
func (c *Client) Submit(ctx context.Context, job, run string) (Result, error) {
	return c.requestResult(ctx, http.MethodPost, "/v1/runs", map[string]string{"job": job, "run": run})
}

// Cancel cancels a run.
func (c *Client) Cancel(ctx context.Context, run string) (Result, error) {
	return c.requestResult(ctx, http.MethodDelete, "/v1/runs/"+url.PathEscape(run), nil)
}

// Objects returns the objects in force. An empty kind or name matches all.
func (c *Client) Objects(ctx context.Context, kind, name string) ([]Object, error) {
	var out []Object
	return out, c.get(ctx, "/v1/objects?kind="+url.QueryEscape(kind)+"&name="+url.QueryEscape(name), &out)
}

// Status returns the state of the entry VM.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.get(ctx, "/v1/status", &out)
}

// Runs returns the runs of the entry VM's data centre. An empty name matches all.
func (c *Client) Runs(ctx context.Context, run string) ([]Run, error) {
	var out []Run
	return out, c.get(ctx, "/v1/runs?run="+url.QueryEscape(run), &out)
}

// Explain returns the recorded decisions about an entity, such as a task or a VM.
func (c *Client) Explain(ctx context.Context, kind, name string) ([]Decision, error) {
	var out []Decision
	return out, c.get(ctx, "/v1/explain?kind="+url.QueryEscape(kind)+"&name="+url.QueryEscape(name), &out)
}

// requestResult makes a call that is answered with a Result, whatever its HTTP status.
func (c *Client) requestResult(ctx context.Context, method, path string, request any) (Result, error) {
	var out Result
	_, err := c.call(ctx, method, path, request, &out)
	return out, err
}

// get makes a GET call and decodes the response. A status other than 200 is an error.
func (c *Client) get(ctx context.Context, path string, out any) error {
	status, err := c.call(ctx, http.MethodGet, path, nil, out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("GET %s: status %d", path, status)
	}
	return err
}

// call calls the first entry VM to which a connection can be opened. A call that may
// have arrived is not repeated at another entry VM.
func (c *Client) call(ctx context.Context, method, path string, request, out any) (int, error) {
	var errs []error
	for _, entry := range c.entries {
		status, err := c.callEntry(ctx, entry, method, path, request, out)
		if err == nil || !httpclient.IsNotSent(err) {
			return status, err
		}
		errs = append(errs, err)
	}
	return 0, errors.Join(errs...)
}

// callEntry calls one entry VM and decodes the JSON response into out.
func (c *Client) callEntry(ctx context.Context, entry netip.AddrPort, method, path string, request, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var data []byte
	if request != nil {
		var err error
		if data, err = json.Marshal(request); err != nil {
			return 0, fmt.Errorf("%s %s: %w", method, path, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return res.StatusCode, fmt.Errorf("%s %s: %s: %s", method, path, res.Status, bytes.TrimSpace(body))
	}
	return res.StatusCode, nil
}

// Object converts the object to the form that package object validates.
func (o Object) Object() (object.Object, error) {
	s := inifile.Section{Title: o.Kind + ` "` + o.Name + `"`, File: "in force"}
	for _, f := range o.Fields {
		s.Keys = append(s.Keys, inifile.Key{Name: f.Key, Value: f.Value})
	}
	return object.FromSection(s)
}
