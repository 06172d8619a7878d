package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// The figures of a recommendation in the configuration.
const (
	decisionTime  = 20 * time.Millisecond
	perWorkerTime = time.Millisecond
	validity      = 3 * time.Second
)

// ticketOf returns the ticket with which a minion may start the tasks of a step.
func ticketOf(stepName, minion string) string { return "c81e-" + minion + "-" + stepName }

// stepOf returns the name of the step of a task.
func stepOf(task string) string { return task[:max(0, strings.LastIndexByte(task, '.'))] }

// advise is the recommendation service. It recommends all minions that are named.
func (b *bed) advise(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.Method != http.MethodPost || r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(decisionTime + time.Duration(len(request.Workers))*perWorkerTime)
	good := [][]string{}
	for _, id := range request.Workers {
		good = append(good, []string{id, ticketOf(request.Step, id)})
	}
	b.record("advice for step %s: %d minions", request.Step, len(good))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validity_ms": validity.Milliseconds()})
}
