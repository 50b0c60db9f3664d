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
	// minLinks is the number of links below which a daemon dials its seeds.
	minLinks = 2
	// maxLinksForSeeds is the number of links from which those to seeds are closed: a few
	// seeds cannot keep a link to each daemon of a fleet.
	maxLinksForSeeds = 8
	// seedDialInterval is the time between two dials, so that the first seed has time to
	// answer before the next one is dialled. seedRedialDelay is how long after the end of
	// a link or dial the same seed may be dialled again.
	seedDialInterval = 100 * time.Millisecond
	seedRedialDelay  = 400 * time.Millisecond
	// firstStartSeedDelay is when seeds are first dialled at the first start of the
	// fleet. All daemons then find each other in the store's list of VMs, and need seeds
	// only if it cannot be read.
	firstStartSeedDelay = 2 * time.Second
)

// seedDialer dials the seeds in the settings while this daemon has few links. A daemon
// that has just started learns the members and the placement from them, even if the store
// cannot be reached. Seeds may be outdated or down.
type seedDialer struct {
	*Env
	timer intervalTimer
	// addresses are the link addresses of the seeds in random order, so that the fleet's
	// first dials are spread over them. next is the index of the next one to dial.
	addresses []string
	next      int

	mu       sync.Mutex
	redialAt map[string]int64
	clients  map[string]*link.Client
}

// Tick implements System.
func (s *seedDialer) Tick(now int64, _ *tables.Mail) {
	tooEarly := s.Settings.Platform.FirstStart && now < int64(firstStartSeedDelay)
	if len(s.Settings.Links.Seeds) == 0 || tooEarly || !s.timer.fires(now, seedDialInterval) {
		return
	}
	s.initialise()
	switch n := s.World.Peers.Len(); {
	case n < minLinks:
		s.dialNext(now)
	case n >= maxLinksForSeeds:
		s.closeAll()
	}
}

func (s *seedDialer) initialise() {
	if s.addresses != nil {
		return
	}
	s.redialAt, s.clients = map[string]int64{}, map[string]*link.Client{}
	for _, seed := range s.Settings.Links.Seeds {
		if address := s.linkAddress(seed); address != s.Settings.Listen.Links {
			s.addresses = append(s.addresses, address)
		}
	}
	rand.Shuffle(len(s.addresses), func(i, j int) { s.addresses[i], s.addresses[j] = s.addresses[j], s.addresses[i] })
}

// dialNext dials the next seed that has no link and whose redial delay is over.
func (s *seedDialer) dialNext(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.addresses {
		address := s.addresses[s.next%len(s.addresses)]
		s.next++
		if _, open := s.clients[address]; open || now < s.redialAt[address] {
			continue
		}
		s.clients[address] = nil
		go s.dial(address)
		return
	}
}

func (s *seedDialer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.clients {
		if client != nil {
			client.Close()
		}
	}
}

// linkAddress returns the link address of a seed: its IP address with the port of this
// daemon's own link address, since all VMs use the same ports.
func (s *seedDialer) linkAddress(seed string) string {
	host, _, seedErr := net.SplitHostPort(seed)
	_, port, ownErr := net.SplitHostPort(s.Settings.Listen.Links)
	if seedErr != nil || ownErr != nil {
		return seed
	}
	return net.JoinHostPort(host, port)
}

func (s *seedDialer) dial(address string) {
	ctx, cancel := context.WithTimeout(s.DaemonContext, dialTimeout)
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
	delete(s.clients, address)
	s.redialAt[address] = s.Now() + int64(seedRedialDelay)
}

func (s *seedDialer) opened(address string, client *link.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[address] = client
}
