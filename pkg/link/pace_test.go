package link

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestARarerHeartbeatWaitsUntilThePeerWasTold: else a peer that reckons with a smaller
// fleet would take the link for dead.
func TestARarerHeartbeatWaitsUntilThePeerWasTold(t *testing.T) {
	c := NewClosedConn()
	c.closed = false
	c.pace = NewHeartbeatTiming(500 * time.Millisecond)
	must.NoError(t, c.Send(&wire.Hello{State: wire.State{IdleTenths: 5}}))
	c.pace.Set(2*time.Second, 6*time.Second)
	at := c.lastSent.Add(time.Second)
	test.True(t, c.HeartbeatDue(at), test.Sprint("the peer knows of half a second"))
	must.NoError(t, c.Send(&wire.State{IdleTenths: 20}))
	test.False(t, c.HeartbeatDue(at))
	test.True(t, c.HeartbeatDue(c.lastSent.Add(2*time.Second)))
	c.pace.Set(500*time.Millisecond, 1500*time.Millisecond)
	test.True(t, c.HeartbeatDue(at), test.Sprint("sooner holds at once"))
}

// TestHeartbeatsAcrossRegionsAreRarer, once the peer was told, and never rarer than a
// peer may ask for.
func TestHeartbeatsAcrossRegionsAreRarer(t *testing.T) {
	pace := NewHeartbeatTiming(500 * time.Millisecond)
	for _, at := range []proximity.Level{proximity.Unknown, proximity.SameDataCentre, proximity.Region} {
		test.Eq(t, 500*time.Millisecond, pace.Idle(at))
	}
	test.Eq(t, 500*time.Millisecond*otherStretch, pace.Idle(proximity.OtherRegion))
	pace.Set(2*time.Second, 6*time.Second)
	test.Eq(t, longestIdle, pace.Idle(proximity.OtherRegion))
	pace.Set(8*time.Second, 24*time.Second)
	test.Eq(t, 8*time.Second, pace.Idle(proximity.OtherRegion), test.Sprint("never sooner than within the region"))

	c := NewClosedConn()
	c.closed = false
	c.pace = NewHeartbeatTiming(time.Second)
	c.setPlace(proximity.OtherRegion)
	must.NoError(t, c.Send(&wire.Hello{State: wire.State{IdleTenths: 10}}))
	test.True(t, c.HeartbeatDue(c.lastSent.Add(time.Second)), test.Sprint("the peer was told of a second"))
	must.NoError(t, c.Send(&wire.State{IdleTenths: 30}))
	test.False(t, c.HeartbeatDue(c.lastSent.Add(2*time.Second)))
	test.True(t, c.HeartbeatDue(c.lastSent.Add(3*time.Second)))
}

// TestALinkIsAsPatientAsItsPeerSaid, and never less than it reckons itself.
func TestALinkIsAsPatientAsItsPeerSaid(t *testing.T) {
	c := NewClosedConn()
	c.pace = NewHeartbeatTiming(500 * time.Millisecond)
	codec, err := wire.NewCodec()
	must.NoError(t, err)
	c.codec = codec
	test.Eq(t, 1500*time.Millisecond, c.patience())
	for tenths, want := range map[uint32]time.Duration{20: 6 * time.Second, 1_000_000: MaxMissedHeartbeats * longestIdle, 0: 6 * time.Second, 1: 1500 * time.Millisecond} {
		c.peerIdle.Store(int64(2 * time.Second))
		must.NoError(t, c.readMessage(encoded(t, codec, &wire.State{IdleTenths: tenths}), func(wire.Frame) error { return nil }))
		test.Eq(t, want, c.patience())
	}
}

// encoded is a frame as it comes over a link.
func encoded(t *testing.T, codec *wire.Codec, frame wire.Frame) []byte {
	var out bytes.Buffer
	must.NoError(t, codec.Append(&out, frame))
	return out.Bytes()
}
