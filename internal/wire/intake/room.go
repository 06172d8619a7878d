package intake

import (
	"cmp"
	"net/netip"
	"slices"
)

// makeRoom removes connections until it has removed n of them that hold the given number of
// bytes together, or none is left that may be closed. It returns them.
//
// Each connection that goes is the most costly one of the address with the largest total
// cost, so that a client with many connections gives way before one with few. Within an
// address, small and quick requests stay: ordinary callers may share it.
func (t *Table) makeRoom(n int, bytes int64, costOf func(*Conn) cost) []*Conn {
	type candidate struct {
		*Conn
		cost cost
	}
	type source struct {
		// conns is sorted by cost, the highest last.
		conns []candidate
		total cost
	}
	sources := make(map[netip.Addr]*source)
	for _, c := range t.conns {
		of := costOf(c)
		if of.class < 0 {
			continue
		}
		s := sources[c.address]
		if s == nil {
			s = &source{}
			sources[c.address] = s
		}
		s.conns = append(s.conns, candidate{c, of})
		s.total.class = max(s.total.class, of.class)
		s.total.amount += of.amount
	}
	var order []*source
	for _, s := range sources {
		slices.SortFunc(s.conns, func(a, b candidate) int { return compareCosts(a.cost, b.cost) })
		order = append(order, s)
	}
	var closed []*Conn
	for len(closed) < n || bytes > 0 {
		var costliest *source
		for _, s := range order {
			if len(s.conns) > 0 && (costliest == nil || compareCosts(s.total, costliest.total) > 0) {
				costliest = s
			}
		}
		if costliest == nil {
			break
		}
		last := costliest.conns[len(costliest.conns)-1]
		costliest.conns = costliest.conns[:len(costliest.conns)-1]
		costliest.total.amount -= last.cost.amount
		if rest := costliest.conns; len(rest) > 0 {
			costliest.total.class = rest[len(rest)-1].cost.class
		}
		bytes -= last.held
		t.Remove(last.Conn)
		closed = append(closed, last.Conn)
	}
	return closed
}

func compareCosts(a, b cost) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.amount, b.amount))
}
