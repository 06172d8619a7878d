package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"bamboofall.example/bamboofall/internal/config/inifile"
	"bamboofall.example/bamboofall/internal/config/object"
	"bamboofall.example/bamboofall/internal/entry/node"
	"bamboofall.example/bamboofall/internal/entry/trail"
	"bamboofall.example/bamboofall/internal/state/ledger"
	"bamboofall.example/bamboofall/internal/wire/peerpb"
)

const explainTimeout = time.Second

// pendingOperations holds the channels of operators that wait for a result, by
// operation id. Repeated requests with one id share the result.
type pendingOperations struct {
	mu   sync.Mutex
	byID map[string][]chan node.Result
}

func (a *pendingOperations) init() { a.byID = make(map[string][]chan node.Result) }

func (a *pendingOperations) add(id string) chan node.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := make(chan node.Result, 1)
	a.byID[id] = append(a.byID[id], c)
	return c
}

func (a *pendingOperations) answer(id string, r node.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.byID[id] {
		c <- r
	}
	delete(a.byID, id)
}

type wireField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type wireObject struct {
	Kind    string      `json:"kind"`
	Name    string      `json:"name"`
	Fields  []wireField `json:"fields,omitempty"`
	Version uint64      `json:"version,omitempty"`
}

type wireChange struct {
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	Objects []wireObject `json:"objects"`
	Deletes []wireObject `json:"deletes"`
}

type wireSubmit struct {
	Job string `json:"job"`
	Run string `json:"run"`
}

type wireResult struct {
	ID        string   `json:"id"`
	Status    string   `json:"status"`
	Revision  uint64   `json:"revision,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	Elsewhere []string `json:"elsewhere,omitempty"`
}

type wireMember struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Status     string `json:"status"`
	Revision   uint64 `json:"revision"`
	SilentMS   int64  `json:"silentMs"`
}

type wireShard struct {
	Shard int    `json:"shard"`
	Owner string `json:"owner"`
	Token uint64 `json:"token"`
}

type wireStatus struct {
	VM         string       `json:"vm"`
	DataCentre string       `json:"dataCentre"`
	Revision   uint64       `json:"revision"`
	Ready      bool         `json:"ready"`
	LogDown    bool         `json:"logDown"`
	FenceOpen  bool         `json:"fenceOpen"`
	Active     []int        `json:"activeShards"`
	Shards     []wireShard  `json:"shards"`
	Members    []wireMember `json:"members"`
}

type wireRun struct {
	Run       string         `json:"run"`
	Job       string         `json:"job"`
	Trade     string         `json:"trade"`
	Class     string         `json:"class"`
	Cancelled bool           `json:"cancelled"`
	Tasks     map[string]int `json:"tasks"`
	// Waiting counts the pending tasks whose shard this VM owns, by the reason why
	// they have not started.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// handleOperators registers the operators' HTTP API.
func (d *Daemon) handleOperators(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/changes", d.serveChange)
	mux.HandleFunc("GET /v1/changes/{id}", d.serveOutcome)
	mux.HandleFunc("GET /v1/objects", d.serveObjects)
	mux.HandleFunc("GET /v1/status", d.serveStatus)
	mux.HandleFunc("GET /v1/runs", d.serveRuns)
	mux.HandleFunc("POST /v1/runs", d.serveSubmit)
	mux.HandleFunc("DELETE /v1/runs/{run}", d.serveCancel)
	mux.HandleFunc("GET /v1/explain", d.serveExplain)
	mux.HandleFunc("GET /metrics", d.serveMetrics)
}

func (d *Daemon) serveChange(w http.ResponseWriter, r *http.Request) {
	var in wireChange
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p := node.Publish{ID: in.ID, Author: in.Author}
	for _, o := range in.Objects {
		put, err := object.FromSection(o.section())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Puts = append(p.Puts, put)
	}
	for _, o := range in.Deletes {
		p.Deletes = append(p.Deletes, object.Key{Kind: object.Kind(o.Kind), Name: o.Name})
	}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	d.runOperation(w, r, p.ID, p)
}

func (o wireObject) section() inifile.Section {
	s := inifile.Section{Title: o.Kind + ` "` + o.Name + `"`, File: "change"}
	for _, f := range o.Fields {
		s.Keys = append(s.Keys, inifile.Key{Name: f.Key, Value: f.Value})
	}
	return s
}

// runOperation passes an operation to the control loop and writes its result.
func (d *Daemon) runOperation(w http.ResponseWriter, r *http.Request, id string, e node.Event) {
	c := d.operations.add(id)
	if !d.control.TryPush(controlItem{event: e}) {
		d.operations.answer(id, node.Result{Status: node.ResultRefused, Reason: errQueueFull.Error()})
	}
	select {
	case res := <-c:
		writeResult(w, id, res)
	case <-r.Context().Done():
	}
}

func writeResult(w http.ResponseWriter, id string, res node.Result) {
	out := wireResult{ID: id, Status: res.Status.String(), Revision: res.Revision, Reason: res.Reason}
	for _, vm := range res.AlternateVMs {
		out.Elsewhere = append(out.Elsewhere, string(vm))
	}
	status := http.StatusOK
	switch res.Status {
	case node.ResultVoid:
		status = http.StatusConflict
	case node.ResultRefused:
		status = http.StatusUnprocessableEntity
	case node.ResultUnknown:
		status = http.StatusGatewayTimeout
	}
	writeJSON(w, status, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func (d *Daemon) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	res := node.Result{Status: node.ResultUnknown, Reason: "no change with this id has been read from the log yet"}
	ok := d.inspectOrFail(w, r, func(_ time.Time, n *node.Node) {
		if o, known := n.Catalog().Outcome(id); known {
			res = node.OutcomeResult(o)
		}
	})
	if ok {
		writeResult(w, id, res)
	}
}

// inspectOrFail runs f in the control loop. If that fails, it responds with an
// error and returns false.
func (d *Daemon) inspectOrFail(w http.ResponseWriter, r *http.Request, f func(time.Time, *node.Node)) bool {
	if err := d.inspect(r.Context(), f); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (d *Daemon) serveObjects(w http.ResponseWriter, r *http.Request) {
	kind, name := r.URL.Query().Get("kind"), r.URL.Query().Get("name")
	out := []wireObject{}
	ok := d.inspectOrFail(w, r, func(_ time.Time, n *node.Node) {
		for _, o := range n.Catalog().Objects() {
			if kind != "" && string(o.Kind) != kind || name != "" && o.Name != name {
				continue
			}
			entry := wireObject{Kind: string(o.Kind), Name: o.Name, Version: n.Catalog().Version(o.Key)}
			for _, k := range o.Section.Keys {
				entry.Fields = append(entry.Fields, wireField{k.Name, k.Value})
			}
			out = append(out, entry)
		}
	})
	if ok {
		writeJSON(w, http.StatusOK, out)
	}
}

func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	var out wireStatus
	ok := d.inspectOrFail(w, r, func(now time.Time, n *node.Node) {
		self := n.Self()
		out = wireStatus{
			VM: string(self.VM), DataCentre: string(self.DataCentre), Revision: self.Revision,
			Ready: n.Ready(), LogDown: n.LogDown(), FenceOpen: n.FenceOpen(now), Active: n.ActiveShards(),
		}
		for i := range n.Ledger().Shards() {
			s := n.Ledger().Shard(i)
			out.Shards = append(out.Shards, wireShard{i, string(s.Owner), uint64(s.Token)})
		}
		for _, m := range n.Members(now) {
			out.Members = append(out.Members, wireMember{
				string(m.VM), string(m.DataCentre), m.Status.String(), m.Revision, m.Silent.Milliseconds(),
			})
		}
	})
	if ok {
		writeJSON(w, http.StatusOK, out)
	}
}

func (d *Daemon) serveRuns(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("run")
	out := []wireRun{}
	ok := d.inspectOrFail(w, r, func(_ time.Time, n *node.Node) {
		for _, run := range n.Ledger().Runs() {
			if name == "" || run.Name() == name {
				out = append(out, toWireRun(n, run))
			}
		}
	})
	if ok {
		writeJSON(w, http.StatusOK, out)
	}
}

func toWireRun(n *node.Node, run *ledger.Run) wireRun {
	out := wireRun{
		Run: run.Name(), Job: run.Submit.GetJob(), Trade: run.Submit.GetTrade(), Class: run.Class().String(),
		Cancelled: run.Cancelled, Tasks: make(map[string]int), Waiting: make(map[string]int),
	}
	for _, t := range run.Tasks {
		out.Tasks[t.Status.String()]++
		if t.Status == ledger.TaskPending {
			if reason := n.PendingReason(t.ID); reason != "" {
				out.Waiting[reason]++
			}
		}
	}
	return out
}

func (d *Daemon) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var in wireSubmit
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := "submit/" + in.Run + "/" + uuid.NewString()
	d.runOperation(w, r, id, node.Submit{ID: id, Run: in.Run, Job: in.Job})
}

func (d *Daemon) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := "cancel/" + uuid.NewString()
	d.runOperation(w, r, id, node.Cancel{ID: id, Run: r.PathValue("run")})
}

// serveExplain merges the trail entries on a subject from all entry VMs that
// respond, or from this VM only if the parameter local is set.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	kind, name := r.URL.Query().Get("kind"), r.URL.Query().Get("name")
	entries := append([]trail.Entry{}, d.findTrail(kind, name)...)
	if r.URL.Query().Get("local") == "" {
		entries = append(entries, d.explainFromPeers(r.Context(), kind, name)...)
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].At.Before(entries[j].At) })
	writeJSON(w, http.StatusOK, entries)
}

func (d *Daemon) explainFromPeers(ctx context.Context, kind, name string) []trail.Entry {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var clients []peerpb.PeerClient
	_ = d.inspect(ctx, func(now time.Time, n *node.Node) {
		for _, a := range n.PeerAddresses(now) {
			clients = append(clients, d.peer(a))
		}
	})
	perPeer := make([][]trail.Entry, len(clients))
	var group sync.WaitGroup
	for i, client := range clients {
		group.Go(func() { perPeer[i] = explainFrom(ctx, client, kind, name) })
	}
	group.Wait()
	var out []trail.Entry
	for _, f := range perPeer {
		out = append(out, f...)
	}
	return out
}

func explainFrom(ctx context.Context, client peerpb.PeerClient, kind, name string) []trail.Entry {
	res, err := client.Explain(ctx, connect.NewRequest(&peerpb.ExplainRequest{Kind: kind, Name: name}))
	if err != nil {
		return nil
	}
	var out []trail.Entry
	for _, e := range res.Msg.GetDecisions() {
		out = append(out, trail.Entry{
			At: time.UnixMilli(e.GetAtUnixMs()), VM: e.GetVm(), Kind: e.GetKind(), Name: e.GetName(), Message: e.GetMessage(),
		})
	}
	return out
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	ok := d.inspectOrFail(w, r, func(_ time.Time, n *node.Node) { d.metrics.recordNode(n.Counters(), n.BatchCounters()) })
	if !ok {
		return
	}
	d.metrics.SetTotal("ringRefusals", map[string]string{"ring": "control"}, d.control.Rejected())
	d.metrics.SetTotal("ringRefusals", map[string]string{"ring": "requests"}, d.requests.Rejected())
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write fails only if the client has disconnected.
	_ = d.metrics.Write(w, bucketLines)
}
