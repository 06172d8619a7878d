package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/wire/httpclient"
)

// baseCallTimeout is the timeout of a call. A log read adds the time for which
// it asks the server to wait.
const baseCallTimeout = 2 * time.Second

// Client is an HTTP client of the platform. Use NewClient. It implements Log,
// VMList and Workers of package bamboofall.
type Client struct {
	http     *httpclient.Client
	platform netip.AddrPort
	// dataCentre determines which addresses of entry VMs List returns.
	dataCentre bamboofall.DataCentre
}

// NewClient returns a client in data centre dc of the platform at an address.
func NewClient(c *httpclient.Client, platform netip.AddrPort, dc bamboofall.DataCentre) *Client {
	return &Client{http: c, platform: platform, dataCentre: dc}
}

// Append implements bamboofall.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (bamboofall.Offset, error) {
	var out wireAppendResult
	err := c.call(ctx, baseCallTimeout, http.MethodPost, c.platform, "/log/"+url.PathEscape(stream), data, &out)
	return bamboofall.Offset(out.Offset), err
}

// Read implements bamboofall.Log.
func (c *Client) Read(ctx context.Context, stream string, from bamboofall.Offset, wait time.Duration) (bamboofall.Page, error) {
	path := fmt.Sprintf("/log/%s?from=%d&waitMs=%d", url.PathEscape(stream), from, wait.Milliseconds())
	var out wirePage
	if err := c.call(ctx, baseCallTimeout+wait, http.MethodGet, c.platform, path, nil, &out); err != nil {
		return bamboofall.Page{}, err
	}
	page := bamboofall.Page{Oldest: bamboofall.Offset(out.Oldest), Next: bamboofall.Offset(out.Next)}
	for _, e := range out.Entries {
		page.Entries = append(page.Entries, bamboofall.Entry{Offset: bamboofall.Offset(e.Offset), Data: e.Data})
	}
	return page, nil
}

// List implements bamboofall.VMList.
func (c *Client) List(ctx context.Context) (bamboofall.Fleet, error) {
	var out wireFleet
	path := "/vms?dataCentre=" + url.QueryEscape(string(c.dataCentre))
	if err := c.call(ctx, baseCallTimeout, http.MethodGet, c.platform, path, nil, &out); err != nil {
		return bamboofall.Fleet{}, err
	}
	var f bamboofall.Fleet
	for _, vm := range out.VMs {
		f.VMs = append(f.VMs, vm.vm())
	}
	return f, nil
}

// Sync implements bamboofall.Workers.
func (c *Client) Sync(ctx context.Context, worker bamboofall.VM, req bamboofall.SyncRequest) (bamboofall.SyncReport, error) {
	data, err := json.Marshal(toWireSync(req))
	if err != nil {
		return bamboofall.SyncReport{}, fmt.Errorf("encode sync request for worker %s: %w", worker.ID, err)
	}
	var out wireReport
	path := "/workers/" + url.PathEscape(string(worker.ID)) + "/sync"
	if err := c.call(ctx, baseCallTimeout, http.MethodPost, worker.Agent, path, data, &out); err != nil {
		return bamboofall.SyncReport{}, err
	}
	if out.SeenToken != 0 {
		return bamboofall.SyncReport{}, &bamboofall.StaleTokenError{Given: req.Token, Seen: bamboofall.Token(out.SeenToken)}
	}
	return out.report(), nil
}

// call sends a request and decodes the JSON answer into out. It returns an
// UnavailableError if there is no answer or its status is not 200.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, server netip.AddrPort, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return &bamboofall.UnavailableError{Component: server.String(), Err: err}
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return &bamboofall.UnavailableError{Component: server.String(), Err: err}
	}
	if res.StatusCode != http.StatusOK {
		return &bamboofall.UnavailableError{Component: server.String(), Err: fmt.Errorf("%s %s: %s", method, path, res.Status)}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}
