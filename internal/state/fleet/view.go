package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Server is one backend server in a view. Its VM is immutable; its counters are
// shared by all views.
type Server struct {
	VM
	*Counters
}

// View is an immutable list of servers, sorted by id, with indexes by model and by
// plain service for routing.
type View struct {
	Servers  []Server
	engines  map[string]*Group
	services map[string]*Group
}

// Group holds the servers that may receive new requests for one model or plain
// service.
type Group struct {
	Servers []*Server
	ring    []point
}

// point is one of a server's points on the consistent-hash ring.
type point struct {
	hash   uint64
	server int32
	rank   float64
}

// pointsPerServer is the number of points per server on the ring. Several points
// distribute the keys more evenly.
const pointsPerServer = 32

// Find returns the server with the given id.
func (v *View) Find(id string) (*Server, bool) {
	i, ok := slices.BinarySearchFunc(v.Servers, id, func(s Server, id string) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil, false
	}
	return &v.Servers[i], true
}

// Engines returns the engines that have loaded the model and are not leaving, nil
// for none.
func (v *View) Engines(model string) *Group {
	return v.engines[model]
}

// PlainServers returns the servers of a plain service that are not leaving, nil for
// none.
func (v *View) PlainServers(service string) *Group {
	return v.services[service]
}

// RankRange is a subset of a group's servers: those whose rank, from 0 to 1, is at
// least From and less than To.
type RankRange struct {
	From, To float64
}

// AllServers contains every server of a group.
var AllServers = RankRange{From: 0, To: 1}

// WalkRing calls f with the servers of subset in the order of their points from
// key on along the ring, until f returns false or limit points were visited. f may
// be called more than once for a server.
func (g *Group) WalkRing(key uint64, limit int, subset RankRange, f func(*Server) bool) {
	first, _ := slices.BinarySearchFunc(g.ring, key, func(p point, key uint64) int { return cmp.Compare(p.hash, key) })
	for i := range min(limit, len(g.ring)) {
		p := g.ring[(first+i)%len(g.ring)]
		if p.rank < subset.From || p.rank >= subset.To {
			continue
		}
		if !f(g.Servers[p.server]) {
			return
		}
	}
}

// newView sorts and indexes the servers. It takes ownership of the slice.
func newView(servers []Server) *View {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	v := &View{Servers: servers, engines: map[string]*Group{}, services: map[string]*Group{}}
	for i := range servers {
		s := &servers[i]
		if s.Leaving {
			continue
		}
		switch s.Role {
		case ServiceRole:
			addToGroup(v.services, s.Service, s)
		case EngineRole:
			load, _ := s.Load()
			for _, model := range load.Models {
				addToGroup(v.engines, model, s)
			}
		}
	}
	for _, g := range v.engines {
		g.buildRing()
	}
	return v
}

// addToGroup adds the server to the named group, which it creates if necessary.
func addToGroup(groups map[string]*Group, name string, s *Server) {
	g, ok := groups[name]
	if !ok {
		g = &Group{}
		groups[name] = g
	}
	g.Servers = append(g.Servers, s)
}

// ranks returns a rank from 0 to 1 for each server. All nodes compute the same
// order, and it is independent of availability zones and machine classes.
func (g *Group) ranks() []float64 {
	order := make([]int, len(g.Servers))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(g.Servers[a].ID), xxhash.Sum64String(g.Servers[b].ID))
	})
	ranks := make([]float64, len(order))
	for n, i := range order {
		ranks[i] = float64(n) / float64(len(order))
	}
	return ranks
}

// buildRing places every server's points on the ring, sorted by hash.
func (g *Group) buildRing() {
	g.ring = make([]point, 0, len(g.Servers)*pointsPerServer)
	ranks := g.ranks()
	for i, s := range g.Servers {
		for n := range pointsPerServer {
			hash := xxhash.Sum64String(s.ID + "#" + strconv.Itoa(n))
			g.ring = append(g.ring, point{hash: hash, server: int32(i), rank: ranks[i]})
		}
	}
	slices.SortFunc(g.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
}
