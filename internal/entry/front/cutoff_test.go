package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/request/holding"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// cutOffFront returns an entry VM whose last answers from store and owner are old and whose calls
// to the owner fail.
func cutOffFront(t *testing.T) *claimedOwner {
	c := newClaimedOwner(t)
	c.front.config.Store(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{{Name: "q", Host: "jobs.example", PathPrefix: "/q/", Service: testService}}})
	long := now().Add(-holding.LostAfter - time.Second)
	c.front.storeLink.Answered(long)
	c.front.ownerLink.Answered(long)
	c.front.ownerLink.Unanswered(now())
	return c
}

func (c *claimedOwner) get(handler http.HandlerFunc, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "jobs.example"
	w := httptest.NewRecorder()
	handler(w, r)
	return w
}

// A VM that reaches neither the store nor the owner leaves rotation and refuses requests at once, so
// that callers reach another one.
func TestCutOffVMLeavesRotation(t *testing.T) {
	c := cutOffFront(t)
	assert.Equal(t, c.get(c.front.serveReadiness, "/v1/readiness").Code, http.StatusServiceUnavailable)
	began := time.Now()
	res := c.get(c.front.serveRequest, "/q/"+id(1))
	assert.Equal(t, res.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(res.Body.String(), reasonCutOff) && res.Header().Get("Connection") == "close")
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
	for _, answered := range []*holding.Link{&c.front.storeLink, &c.front.ownerLink} {
		c := cutOffFront(t)
		if answered == &c.front.storeLink {
			c.front.storeLink.Answered(now())
		} else {
			c.front.ownerLink.Answered(now())
		}
		assert.Equal(t, c.get(c.front.serveReadiness, "/v1/readiness").Code, http.StatusOK)
	}
}

// An owner in a data centre that is cut off can store nothing. The VMs beside it are to leave
// rotation like itself. If the store alone is lost, none of them does.
func TestOwnerInCutOffDataCentreTurnsVMsAway(t *testing.T) {
	c := cutOffFront(t)
	f := c.front
	f.owner.Store(c.owner)
	server := &relaysServer{f}
	announce := func(dataCentre string) error {
		_, err := server.Announce(t.Context(), connect.NewRequest(&jobpb.AnnounceRequest{Process: "p", Address: "10.0.0.1:1", DataCentre: dataCentre}))
		return err
	}
	assert.NilError(t, announce(string(f.settings.DataCentre))) // no other data centre is known
	f.othersHeardAt.set(now().Add(-2 * time.Second))
	assert.ErrorContains(t, announce(string(f.settings.DataCentre)), errIsolated.Error())
	assert.Equal(t, c.get(f.serveReadiness, "/v1/readiness").Code, http.StatusServiceUnavailable)
	assert.NilError(t, announce("elsewhere"))
	assert.NilError(t, announce(string(f.settings.DataCentre)))
	assert.Equal(t, c.get(f.serveReadiness, "/v1/readiness").Code, http.StatusOK)
}
