package systems

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// fewLinks is the number of links below which a daemon asks its seeds.
	fewLinks = 2
	// enoughLinks is the number of links from which those to seeds are closed:
	// a few seeds can't keep a link to each daemon of a fleet.
	enoughLinks = 8
	// seedEvery is the time between two looks; each dials one seed at most, so
	// that the first seed has the time to answer before the next one is asked.
	// seedRest is the time between two dials of one seed.
	seedEvery = 100 * time.Millisecond
	seedRest  = 400 * time.Millisecond
	// seedsAtFirstStart is when seeds are asked at the first start of the whole
	// system: all daemons start at once and find each other in the store's list
	// of VMs; seeds are for when that can't be read.
	seedsAtFirstStart = 2 * time.Second
)

// seedDialer dials the addresses in the settings while this daemon has few links: a
// daemon that was just started learns the members and the placement there, also
// while the store is away. Seeds may be stale or down.
type seedDialer struct {
	*Env
	due intervalTimer
	// order is the seeds' link addresses in an order of this daemon's own, so
	// that the fleet's first dials are spread over them; next is whose turn it is.
	order []string
	next  int

	mu   sync.Mutex
	rest map[string]int64
	open map[string]*link.Client
}

// Tick implements System.
func (s *seedDialer) Tick(now int64, _ *tables.Mail) {
	early := s.Settings.Platform.FirstStart && now < int64(seedsAtFirstStart)
	if len(s.Settings.Links.Seeds) == 0 || early || !s.due.fires(now, seedEvery) {
		return
	}
	s.prepare()
	switch n := s.World.Peers.Len(); {
	case n < fewLinks:
		s.dialNext(now)
	case n >= enoughLinks:
		s.closeAll()
	}
}

func (s *seedDialer) prepare() {
	if s.order != nil {
		return
	}
	s.rest, s.open = map[string]int64{}, map[string]*link.Client{}
	for _, seed := range s.Settings.Links.Seeds {
		if address := s.linkAddress(seed); address != s.Settings.Listen.Links {
			s.order = append(s.order, address)
		}
	}
	rand.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

// dialNext dials the next seed that is neither open nor resting.
func (s *seedDialer) dialNext(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.order {
		address := s.order[s.next%len(s.order)]
		s.next++
		if _, open := s.open[address]; open || now < s.rest[address] {
			continue
		}
		s.open[address] = nil
		go s.dial(address)
		return
	}
}

func (s *seedDialer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.open {
		if client != nil {
			client.Close()
		}
	}
}

// linkAddress is where a seed takes links: its IP number with this daemon's own
// port, since ports are alike on all VMs.
func (s *seedDialer) linkAddress(seed string) string {
	host, _, seedErr := net.SplitHostPort(seed)
	_, port, ownErr := net.SplitHostPort(s.Settings.Listen.Links)
	if seedErr != nil || ownErr != nil {
		return seed
	}
	return net.JoinHostPort(host, port)
}

func (s *seedDialer) dial(address string) {
	ctx, cancel := context.WithTimeout(s.DaemonContext, dialTime)
	defer cancel()
	client, err := link.DialClient(ctx, s.Common, s.Control, address, s.DialOptions)
	if err != nil {
		s.Log.Event(events.LinkRefused, events.F("seed", address), events.F("cause", err))
	} else {
		s.opened(address, client)
		client.Run()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, address)
	s.rest[address] = s.Now() + int64(seedRest)
}

func (s *seedDialer) opened(address string, client *link.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[address] = client
}
