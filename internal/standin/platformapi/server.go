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

// maxWait bounds how long a read waits.
const maxWait = 10 * time.Second

// FleetFor returns the list as a data centre sees it.
type FleetFor func(dc bamboofall.DataCentre) bamboofall.Fleet

// LogHandler serves the log and the VM list.
func LogHandler(store *logstore.Store, fleet FleetFor) http.Handler {
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
			logError(w, err)
			return
		}
		writeJSON(w, wireAppended{uint64(offset)})
	})
	mux.HandleFunc("GET /log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		from, err1 := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		wait, err2 := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
		if err := errors.Join(err1, err2); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(store.Delay())
		until := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxWait))
		serveRead(w, store, r.PathValue("stream"), bamboofall.Offset(from), until)
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

func serveRead(w http.ResponseWriter, store *logstore.Store, stream string, from bamboofall.Offset, until time.Time) {
	for {
		page, grown, err := store.Read(time.Now(), stream, from)
		if err != nil {
			logError(w, err)
			return
		}
		left := time.Until(until)
		if len(page.Entries) > 0 || page.Next != from || left <= 0 {
			out := wirePage{Oldest: uint64(page.Oldest), Next: uint64(page.Next)}
			for _, e := range page.Entries {
				out.Entries = append(out.Entries, wireEntry{uint64(e.Offset), e.Data})
			}
			writeJSON(w, out)
			return
		}
		select {
		case <-grown:
		case <-time.After(left):
		}
	}
}

func logError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, logstore.ErrAnswerLost) {
		status = http.StatusGatewayTimeout
	}
	http.Error(w, err.Error(), status)
}

// AgentsHandler serves the agents of all workers, by path.
func AgentsHandler(find func(bamboofall.VMID) *worker.Worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /workers/{id}/sync", func(w http.ResponseWriter, r *http.Request) {
		wk := find(bamboofall.VMID(r.PathValue("id")))
		var in wireSync
		err := json.NewDecoder(r.Body).Decode(&in)
		if wk == nil || err != nil {
			http.Error(w, "unknown worker or malformed round", http.StatusBadRequest)
			return
		}
		rep, err, answers := wk.Sync(time.Now(), in.request())
		if !answers {
			// A worker that is cut off never answers. The caller gives up first.
			time.Sleep(maxWait)
			return
		}
		var stale *bamboofall.StaleTokenError
		if errors.As(err, &stale) {
			writeJSON(w, wireReport{SeenToken: uint64(stale.Seen)})
			return
		}
		writeJSON(w, toWireReport(rep))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
