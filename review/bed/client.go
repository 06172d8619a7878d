package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientTimeout is how long clients wait for a response.
const clientTimeout = 3 * time.Second

// answer is the response to a client, or the error that ended the call.
type answer struct {
	status int
	body   string
	err    error
}

// state returns the state of a job in an answer, or "".
func (a answer) state() string {
	var body struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return ""
	}
	return body.State
}

func (a answer) String() string {
	if a.err != nil {
		return "no response: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// newRequest returns a client's request to a VM.
func newRequest(v *vm, method, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequest(method, "http://"+v.callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Bamboofall-Timeout-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	return r, nil
}

// call makes one attempt at a request, on a connection of its own.
func (v *vm) call(method, path string, body []byte) answer {
	r, err := newRequest(v, method, path, body)
	if err != nil {
		return answer{err: err}
	}
	c := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return do(&c, r)
}

func do(c *http.Client, r *http.Request) answer {
	res, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(data), err}
}

// ask makes a request at the ready VMs in turn until one answers with another status than
// 502, 503 or 504, and records the answers.
func (b *bed) ask(method, path string, body []byte) answer {
	var a answer
	for range 4 {
		for _, v := range b.vms {
			if !v.isReady() {
				continue
			}
			a = v.call(method, path, body)
			b.record("%s %s at %s: %v", method, path, v.name, a)
			if a.err == nil && a.status < http.StatusInternalServerError {
				return a
			}
		}
	}
	return a
}

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemoryMB      int    `json:"memory_request_mb"`
	EstimatedMS   int    `json:"estimated_ms"`
	LongRunning   bool   `json:"long_running,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	Image         string `json:"image,omitempty"`
}

// jobBody returns the body of a submission.
func jobBody(spec taskSpec, steps ...step) []byte {
	text, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{"task_spec": string(text), "steps": steps})
	return body
}

// route is a route of the configuration.
type route struct {
	name, prefix string
	maxAttempts  int
	advised      bool
}

// publish writes a configuration.
func (b *bed) publish(version int, routes ...route) {
	var out []map[string]any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": queueHost, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "objective_ms": 1000,
			"priority": 0, "service": service, "max_attempts": r.maxAttempts, "stretch": 2.0,
		}
		if r.advised {
			m["recommendation"] = map[string]any{"decision_ms": decisionTime.Milliseconds(), "per_worker_ms": perWorkerTime.Milliseconds(), "validity_ms": validity.Milliseconds()}
		}
		out = append(out, m)
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": out,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b.store.Put(topicOperator, "config", data)
}

// newest returns the newest values of a topic of the store.
func (b *bed) newest(topic string) ([][]byte, error) {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + b.storeAt + "/v1/log-newest?topic=" + topic + "&part=0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var page struct {
		Items []struct {
			Value string `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(res.Body).Decode(&page); err != nil {
		return nil, err
	}
	var out [][]byte
	for _, i := range page.Items {
		value, err := base64.StdEncoding.DecodeString(i.Value)
		if err != nil {
			return nil, err
		}
		out = append(out, value)
	}
	return out, nil
}
