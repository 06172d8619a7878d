package intake

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	shared = netip.MustParseAddr("10.0.0.1")
)

// callers is the outcome of a replay for ordinary callers.
type callers struct{ served, turnedAway int }

// policy is the table, or the policy that it beats.
type policy interface {
	add(now time.Time, from netip.Addr) *Conn
	receive(now time.Time, c *Conn, n int) bool
	finish(now time.Time, c *Conn) bool
	remove(c *Conn)
}

// roomMaker makes room as Table does.
type roomMaker struct{ *Table }

func (p roomMaker) add(now time.Time, from netip.Addr) *Conn {
	c, _ := p.Add(now, from)
	return c
}

func (p roomMaker) receive(now time.Time, c *Conn, n int) bool {
	p.Receive(now, c, n)
	return c.state != Closed
}

func (p roomMaker) finish(now time.Time, c *Conn) bool {
	if !p.Run(now, c) {
		return false
	}
	p.Done(now, c, 0)
	return true
}

func (p roomMaker) remove(c *Conn) { p.Remove(c) }

// firstComer turns away what comes when its limits are reached.
type firstComer struct{ *Table }

func newFirstComer(l Limits) firstComer {
	t := NewTable(Limits{})
	t.limits = l
	return firstComer{t}
}

func (p firstComer) add(now time.Time, from netip.Addr) *Conn {
	if p.Len() >= p.limits.Connections {
		return nil
	}
	c := &Conn{address: from, since: now, index: len(p.conns)}
	p.conns = append(p.conns, c)
	return c
}

func (p firstComer) receive(now time.Time, c *Conn, n int) bool {
	if c.state == Closed || p.held+int64(n) > p.limits.Bytes {
		p.Remove(c)
		return false
	}
	c.state = Receiving
	c.held += int64(n)
	p.held += int64(n)
	return true
}

func (p firstComer) finish(now time.Time, c *Conn) bool { return roomMaker(p).finish(now, c) }
func (p firstComer) remove(c *Conn)                     { p.Remove(c) }

// replay lets a crowd of 400 connections of the given address send 8 kB every 100 ms and
// never end their requests, as long as they are open, and open others for those that are
// closed. Each 100 ms an ordinary caller sends a request of 3 kB, and ten more ordinary
// callers of other addresses do. It returns what became of their requests.
func replay(p policy, crowdFrom func(i int) netip.Addr) (out callers) {
	const crowd, ordinary = 400, 11
	conns := make([]*Conn, crowd)
	for tick := range 100 {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		for i := range conns {
			if conns[i] == nil || conns[i].state == Closed {
				conns[i] = p.add(now, crowdFrom(i))
			}
			if conns[i] != nil {
				p.receive(now, conns[i], 8<<10)
			}
		}
		for i := range ordinary {
			from := shared
			if i > 0 {
				from = netip.AddrFrom4([4]byte{10, 1, 0, byte(i)})
			}
			at := now.Add(time.Duration(i) * time.Millisecond)
			c := p.add(at, from)
			if c != nil && p.receive(at, c, 1<<10) && p.receive(at.Add(time.Millisecond), c, 2<<10) && p.finish(at.Add(2*time.Millisecond), c) {
				out.served++
			} else {
				out.turnedAway++
			}
			if c != nil {
				p.remove(c)
			}
		}
	}
	return out
}

// Ordinary callers are served beside a crowd that never ends its requests, also behind the
// address of the crowd. If those that come first keep what they hold, hardly any is.
func TestOrdinaryCallersAreServedBesideCrowd(t *testing.T) {
	limits := Limits{Connections: 256, Bytes: 4 << 20}
	for _, c := range []struct {
		name string
		from func(i int) netip.Addr
	}{
		{"one address", func(int) netip.Addr { return shared }},
		{"many addresses", func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			room := replay(roomMaker{NewTable(limits)}, c.from)
			first := replay(newFirstComer(limits), c.from)
			t.Logf("making room: %+v, first come: %+v", room, first)
			assert.Equal(t, room.turnedAway, 0)
			assert.Assert(t, first.served < room.served/4, "%+v", first)
		})
	}
}

func TestRunningRequestIsNeverClosed(t *testing.T) {
	table := NewTable(Limits{Connections: 2, Bytes: 100})
	a, _ := table.Add(start, shared)
	b, _ := table.Add(start, shared)
	for _, c := range []*Conn{a, b} {
		assert.Equal(t, len(table.Receive(start, c, 50)), 0)
		assert.Assert(t, table.Run(start, c))
	}
	none, closed := table.Add(start.Add(time.Hour), shared)
	assert.Assert(t, none == nil && len(closed) == 0)
	table.Done(start, b, 0)
	closed = table.Receive(start, b, 60)
	assert.Equal(t, len(closed), 1, "the request that comes when all others run is refused")
	assert.Assert(t, closed[0] == b && b.WasReceiving() && a.State() == Running)
	assert.Assert(t, !table.Run(start, b))
	assert.Equal(t, table.Held(), int64(50))
}

// A single request may be larger than the budget: it has a limit of its own.
func TestRequestAloneIsReceived(t *testing.T) {
	table := NewTable(Limits{Bytes: 100})
	c, _ := table.Add(start, shared)
	assert.Equal(t, len(table.Receive(start, c, 1000)), 0)
	table.Remove(c)
	assert.Equal(t, table.Held(), int64(0))
	assert.Equal(t, table.Len(), 0)
}

// A client that does not read its response gives way after a while, also with its bytes.
func TestUnreadResponseGivesWay(t *testing.T) {
	table := NewTable(Limits{Connections: 2, Bytes: 100})
	var conns []*Conn
	for i := range 2 {
		c, _ := table.Add(start, shared)
		table.Receive(start, c, 50)
		assert.Assert(t, table.Run(start, c))
		assert.Assert(t, table.Write(start.Add(time.Duration(i)*time.Millisecond), c))
		conns = append(conns, c)
	}
	none, closed := table.Add(start.Add(stuckAfter-time.Millisecond), shared)
	assert.Assert(t, none == nil && len(closed) == 0)
	table.Written(conns[1])
	assert.Equal(t, conns[1].State(), Running)
	late := start.Add(stuckAfter)
	c, closed := table.Add(late, shared)
	assert.Assert(t, c != nil && len(closed) == 1 && closed[0] == conns[0])
	assert.Assert(t, !conns[0].WasReceiving() && !table.Write(late, conns[0]))

	assert.Assert(t, table.Write(late, conns[1]))
	closed = table.Receive(late.Add(stuckAfter), c, 60)
	assert.Assert(t, len(closed) == 1 && closed[0] == conns[1])
	assert.Equal(t, table.Held(), int64(60))
}

// All connections, with the kernel's buffers of each in use, take less than half of the
// memory with those that wait to be accepted, which leaves room for jobs.
func TestPlanFitsMachine(t *testing.T) {
	for _, m := range []Machine{
		{},
		{MemoryBytes: 64 << 20, Sockets: 100},
		{MemoryBytes: 96 << 20, Sockets: 312},
		{MemoryBytes: 160 << 20, Sockets: 3900},
		{MemoryBytes: 184 << 20, Sockets: 3900},
		{MemoryBytes: 1 << 40, Sockets: 1 << 20},
	} {
		if m.MemoryBytes > 0 {
			p := PlanFor(m)
			assert.Assert(t, p.Callers.Connections+p.Peers.Connections+2*p.Probes.Connections < m.Sockets, "%+v", p)
			assert.Assert(t, uint64(p.Callers.Bytes+p.Peers.Bytes+2*p.Probes.Bytes) < m.MemoryBytes/8, "%+v", p)
			var connections uint64
			for _, l := range []Limits{p.Callers, p.Peers, p.Probes, p.Probes} {
				assert.Assert(t, l.Connections > 0 && l.SocketBuffer > 0, "%+v", p)
				connections += uint64(l.Connections+l.Backlog()) * uint64(16<<10+4*l.SocketBuffer)
			}
			assert.Assert(t, connections <= m.MemoryBytes/2, "%+v: %d bytes", p, connections)
		}
		assert.Assert(t, PlanFor(m).Callers.Bytes >= minBytes)
	}
}
