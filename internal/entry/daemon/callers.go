package daemon

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/router"
)

const (
	// maxCallBodyBytes is the largest request body that is accepted.
	maxCallBodyBytes = 16 << 20
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 2 * time.Second
	maxKeyBytes     = 200
)

// wireRefusal is the body of a response that doesn't come from an upstream.
type wireRefusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retryAfterMs,omitempty"`
	Message      string `json:"message,omitempty"`
}

// callersHandler serves callers, operators and the load balancer's health checks.
func (d *Daemon) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{service}/{kind}", d.serveCall)
	mux.HandleFunc("GET /health", d.serveHealth)
	d.handleOperators(mux)
	return mux
}

func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if d.isLeaving() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !d.serving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	req, message := d.parseCall(now, r)
	if message != "" {
		refuse(w, http.StatusBadRequest, wireRefusal{Outcome: "notRun", Reason: "malformed", Message: message})
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBodyBytes+1))
	if err != nil || len(body) > maxCallBodyBytes {
		refuse(w, http.StatusRequestEntityTooLarge, wireRefusal{Outcome: "notRun", Reason: string(router.ReasonBodyTooLarge)})
		return
	}
	req.Content = xxhash.Sum64(body)
	req.Size = int64(len(body))
	reply := d.route(req, body)
	d.metrics.recordLatency(req, reply, time.Since(now))
	d.refusals.add(req, reply)
	if d.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	writeReply(w, reply)
}

// route passes a request to the request loop and waits for the reply.
func (d *Daemon) route(req router.Request, body []byte) router.Reply {
	id, pending := d.pendingCalls.add(body)
	req.ID = id
	item := requestItem{run: func(now time.Time, r *router.Router) []router.Action { return r.Arrive(now, req) }}
	if !d.requests.TryPush(item) {
		d.pendingCalls.finish(router.Reply{Request: req, Outcome: bamboofall.OutcomeNotRun, Reason: reasonRingFull})
	}
	return <-pending.reply
}

// reasonRingFull is the reason of requests refused because the request loop's
// queue is full.
const reasonRingFull router.Reason = "ringFull"

// parseCall parses the headers of a caller's request. The returned message
// describes the first invalid header. It is empty if all are valid.
func (d *Daemon) parseCall(now time.Time, r *http.Request) (router.Request, string) {
	req := router.Request{
		Service: r.PathValue("service"),
		Kind:    r.PathValue("kind"),
		Trade:   r.Header.Get(headerTrade),
		Key:     r.Header.Get(headerKey),
		First:   r.Header.Get(headerAttempt) == "1",
	}
	if len(r.Header.Values("Content-Length")) > 1 || r.Header.Get("Content-Length") != "" && len(r.TransferEncoding) > 0 {
		return req, "ambiguous body length: several Content-Length headers or Transfer-Encoding"
	}
	if len(req.Key) > maxKeyBytes {
		return req, "idempotency key too long"
	}
	deadline := defaultDeadline
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return req, headerDeadline + " is not a number of milliseconds"
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	req.Deadline = now.Add(deadline)
	return req, ""
}

func writeReply(w http.ResponseWriter, reply router.Reply) {
	if reply.Outcome == bamboofall.OutcomeAnswered {
		w.Header().Set(headerOutcome, reply.Outcome.String())
		if reply.Answer.ContentType != "" {
			w.Header().Set("Content-Type", reply.Answer.ContentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Answer.Body)))
		w.WriteHeader(reply.Answer.Status)
		_, _ = w.Write(reply.Answer.Body)
		return
	}
	refuse(w, statusOf(reply), wireRefusal{
		Outcome: reply.Outcome.String(), Reason: string(reply.Reason), RetryAfterMS: reply.RetryAfter.Milliseconds(),
	})
}

// statusOf returns the HTTP status of a reply without an upstream's answer.
func statusOf(reply router.Reply) int {
	if reply.Outcome == bamboofall.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	switch reply.Reason {
	case router.ReasonUnknownService, router.ReasonUnknownKind:
		return http.StatusNotFound
	case router.ReasonUnknownTrade, router.ReasonMissingKey, router.ReasonDeadlinePassed:
		return http.StatusBadRequest
	case router.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case router.ReasonKeyReused:
		return http.StatusConflict
	case router.ReasonLimited:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func refuse(w http.ResponseWriter, status int, body wireRefusal) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := math.Ceil(float64(max(body.RetryAfterMS, 1)) / 1000)
		w.Header().Set(headerRetryAfter, strconv.Itoa(int(seconds)))
	}
	w.Header().Set(headerOutcome, body.Outcome)
	w.Header().Set(headerReason, body.Reason)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
