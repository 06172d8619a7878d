package platformapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/logstore"
	"bamboofall.example/bamboofall/internal/standin/worker"
)

// maxReadWait is the longest time for which a log read waits for new entries,
// and for which a request to an unresponsive worker is held.
const maxReadWait = 10 * time.Second

// FleetFunc returns the list of VMs as seen from a data centre.
type FleetFunc func(dc bamboofall.DataCentre) bamboofall.Fleet

// PlatformHandler serves the log and the list of VMs.
func PlatformHandler(store *logstore.Store, fleet FleetFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(store.Delay())
		offset, err := store.Append(time.Now(), r.PathValue("stream"), data)
		if err != nil {
			writeLogError(w, err)
			return
		}
		writeJSON(w, wireAppendResult{uint64(offset)})
	})
	mux.HandleFunc("GET /log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		from, fromErr := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		waitMS, waitErr := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
		if err := errors.Join(fromErr, waitErr); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(store.Delay())
		deadline := time.Now().Add(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
		serveRead(w, store, r.PathValue("stream"), bamboofall.Offset(from), deadline)
	})
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		var out wireFleet
		for _, vm := range fleet(bamboofall.DataCentre(r.URL.Query().Get("dataCentre"))).VMs {
			out.VMs = append(out.VMs, toWireVM(vm))
		}
		writeJSON(w, out)
	})
	return mux
}

// serveRead answers a log read as soon as the page differs from an empty one at
// the given offset, or at the deadline.
func serveRead(w http.ResponseWriter, store *logstore.Store, stream string, from bamboofall.Offset, deadline time.Time) {
	for {
		page, grown, err := store.Read(time.Now(), stream, from)
		if err != nil {
			writeLogError(w, err)
			return
		}
		remaining := time.Until(deadline)
		if len(page.Entries) > 0 || page.Next != from || remaining <= 0 {
			out := wirePage{Oldest: uint64(page.Oldest), Next: uint64(page.Next)}
			for _, e := range page.Entries {
				out.Entries = append(out.Entries, wireEntry{uint64(e.Offset), e.Data})
			}
			writeJSON(w, out)
			return
		}
		select {
		case <-grown:
		case <-time.After(remaining):
		}
	}
}

// writeLogError answers with status 504 if the append took effect but its
// answer is lost, and with 503 otherwise.
func writeLogError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, logstore.ErrAnswerLost) {
		status = http.StatusGatewayTimeout
	}
	http.Error(w, err.Error(), status)
}

// AgentsHandler serves the agents of all workers. The path names the worker.
func AgentsHandler(find func(bamboofall.VMID) *worker.Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /workers/{id}/sync", func(w http.ResponseWriter, r *http.Request) {
		target := find(bamboofall.VMID(r.PathValue("id")))
		var request wireSync
		err := json.NewDecoder(r.Body).Decode(&request)
		if target == nil || err != nil {
			http.Error(w, "unknown worker or malformed sync request", http.StatusBadRequest)
			return
		}
		report, err, answered := target.Sync(time.Now(), request.request())
		if !answered {
			// A worker with an injected fault does not answer; the client times
			// out first.
			time.Sleep(maxReadWait)
			return
		}
		var stale *bamboofall.StaleTokenError
		if errors.As(err, &stale) {
			writeJSON(w, wireReport{SeenToken: uint64(stale.Seen)})
			return
		}
		writeJSON(w, toWireReport(report))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
