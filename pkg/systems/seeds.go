package systems

import (
	"context"
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
	// seedEvery is the time between two looks, seedRest that between two dials
	// of one seed.
	seedEvery = 100 * time.Millisecond
	seedRest  = 400 * time.Millisecond
)

// seeds dials the addresses in the settings while this daemon has few links: a
// daemon that was just started learns the members and the placement there, also
// while the store is away. Seeds may be stale or down.
type seeds struct {
	*Env
	due  due
	mu   sync.Mutex
	rest map[string]int64
	open map[string]bool
}

// Tick implements System.
func (s *seeds) Tick(now int64, _ *tables.Mail) {
	if len(s.Settings.Links.Seeds) == 0 || !s.due.at(now, seedEvery) || s.World.Peers.Len() >= fewLinks {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rest == nil {
		s.rest, s.open = map[string]int64{}, map[string]bool{}
	}
	for _, seed := range s.Settings.Links.Seeds {
		address := s.linkAddress(seed)
		if address == s.Settings.Listen.Links || s.open[address] || now < s.rest[address] {
			continue
		}
		s.open[address] = true
		go s.dial(address)
	}
}

// linkAddress is where a seed takes links: its IP number with this daemon's own
// port, since ports are alike on all VMs.
func (s *seeds) linkAddress(seed string) string {
	host, _, seedErr := net.SplitHostPort(seed)
	_, port, ownErr := net.SplitHostPort(s.Settings.Listen.Links)
	if seedErr != nil || ownErr != nil {
		return seed
	}
	return net.JoinHostPort(host, port)
}

func (s *seeds) dial(address string) {
	ctx, cancel := context.WithTimeout(s.Background, dialTime)
	defer cancel()
	client, err := link.DialClient(ctx, s.Common, s.Control, address, s.Dial)
	if err != nil {
		s.Log.Event(events.LinkRefused, events.F("seed", address), events.F("cause", err))
	} else {
		client.Run()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[address] = false
	s.rest[address] = s.Now() + int64(seedRest)
}
