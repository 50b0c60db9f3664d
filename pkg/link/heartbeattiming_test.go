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

// TestLongerIdleTimeAppliesOnceStated checks that a longer idle time applies only once a
// frame has stated it. A peer that knows of fewer members would otherwise time out.
func TestLongerIdleTimeAppliesOnceStated(t *testing.T) {
	c := NewClosedConn()
	c.closed = false
	c.timing = NewHeartbeatTiming(500 * time.Millisecond)
	must.NoError(t, c.Send(&wire.Hello{State: wire.State{IdleTenths: 5}}))
	c.timing.Set(2*time.Second, 6*time.Second)
	at := c.lastSent.Add(time.Second)
	test.True(t, c.HeartbeatDue(at), test.Sprint("half a second was stated to the peer"))
	must.NoError(t, c.Send(&wire.State{IdleTenths: 20}))
	test.False(t, c.HeartbeatDue(at))
	test.True(t, c.HeartbeatDue(c.lastSent.Add(2*time.Second)))
	c.timing.Set(500*time.Millisecond, 1500*time.Millisecond)
	test.True(t, c.HeartbeatDue(at), test.Sprint("a shorter idle time applies at once"))
}

// TestIdleTimeIsLongerBetweenRegions checks that the longer idle time applies once a frame
// has stated it, and that the factor does not raise it above maxStatedIdle.
func TestIdleTimeIsLongerBetweenRegions(t *testing.T) {
	timing := NewHeartbeatTiming(500 * time.Millisecond)
	for _, level := range []proximity.Level{proximity.Unknown, proximity.SameDataCentre, proximity.Region} {
		test.Eq(t, 500*time.Millisecond, timing.Idle(level))
	}
	test.Eq(t, 500*time.Millisecond*otherRegionFactor, timing.Idle(proximity.OtherRegion))
	timing.Set(2*time.Second, 6*time.Second)
	test.Eq(t, maxStatedIdle, timing.Idle(proximity.OtherRegion))
	timing.Set(8*time.Second, 24*time.Second)
	test.Eq(t, 8*time.Second, timing.Idle(proximity.OtherRegion), test.Sprint("never shorter than within the region"))

	c := NewClosedConn()
	c.closed = false
	c.timing = NewHeartbeatTiming(time.Second)
	c.setProximity(proximity.OtherRegion)
	must.NoError(t, c.Send(&wire.Hello{State: wire.State{IdleTenths: 10}}))
	test.True(t, c.HeartbeatDue(c.lastSent.Add(time.Second)), test.Sprint("one second was stated to the peer"))
	must.NoError(t, c.Send(&wire.State{IdleTenths: 30}))
	test.False(t, c.HeartbeatDue(c.lastSent.Add(2*time.Second)))
	test.True(t, c.HeartbeatDue(c.lastSent.Add(3*time.Second)))
}

// TestReadTimeoutFollowsTheIdleTimeOfThePeer checks that a longer stated idle time extends
// the timeout up to a limit, and that a short one does not reduce the timeout.
func TestReadTimeoutFollowsTheIdleTimeOfThePeer(t *testing.T) {
	c := NewClosedConn()
	c.timing = NewHeartbeatTiming(500 * time.Millisecond)
	codec, err := wire.NewCodec()
	must.NoError(t, err)
	c.codec = codec
	test.Eq(t, 1500*time.Millisecond, c.readTimeout())
	for tenths, want := range map[uint32]time.Duration{20: 6 * time.Second, 1_000_000: MaxMissedHeartbeats * maxStatedIdle, 0: 6 * time.Second, 1: 1500 * time.Millisecond} {
		c.peerIdle.Store(int64(2 * time.Second))
		must.NoError(t, c.readMessage(encode(t, codec, &wire.State{IdleTenths: tenths}), func(wire.Frame) error { return nil }))
		test.Eq(t, want, c.readTimeout())
	}
}

// encode returns the bytes of a frame.
func encode(t *testing.T, codec *wire.Codec, frame wire.Frame) []byte {
	var out bytes.Buffer
	must.NoError(t, codec.Append(&out, frame))
	return out.Bytes()
}
