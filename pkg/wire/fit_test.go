package wire

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// laterStamp, laterRefusal, laterMember and laterMembers are types of a later release:
// each has one more field at its end, except laterMembers, which contains such a type.
type (
	laterStamp struct {
		_                                                           struct{} `cbor:",toarray"`
		Seq                                                         uint64
		Running, Queued, Limit, ServiceUS, Slowdown, NormalSlowdown uint32
		LinkDelayMS, BodyWaitMS, LinkRateKB                         uint32
		StartRateMilli                                              uint32
		StartTokensMilli                                            int32
		Added                                                       []string
	}
	laterRefusal struct {
		_         struct{} `cbor:",toarray"`
		ID        uint64
		Kind, Ran uint8
		Detail    string
		Stamp     laterStamp
		NextClaim Claim
		Offered   bool
		Origin    Origin
		Added     map[string]int
	}
	laterMember struct {
		_                                                       struct{} `cbor:",toarray"`
		VM                                                      string
		Started, Incarnation                                    uint64
		State                                                   MemberState
		Region, DataCentre, Service, LinkAddress, CallerAddress string
		Slots                                                   uint32
		Revision                                                uint64
		Backend                                                 BackendState
		Version                                                 string
		Added                                                   uint64
	}
	// earlierMember is a Member of a release that did not send Version.
	earlierMember struct {
		_                                                       struct{} `cbor:",toarray"`
		VM                                                      string
		Started, Incarnation                                    uint64
		State                                                   MemberState
		Region, DataCentre, Service, LinkAddress, CallerAddress string
		Slots                                                   uint32
		Revision                                                uint64
		Backend                                                 BackendState
	}
	earlierMembers struct {
		_    struct{} `cbor:",toarray"`
		Rows []earlierMember
	}
	laterMembers struct {
		_    struct{} `cbor:",toarray"`
		Rows []laterMember
	}
	// earlierAnswer is an Answer of a release that did not send Slowdown and CallsFailed.
	earlierAnswer struct {
		_           struct{} `cbor:",toarray"`
		ID          uint64
		Status      int
		Headers     []Header
		Queued, Run int64
		Stamp       earlierStamp
		Body        Body
		Origin      Origin
	}
	// earlierState is a State of a release that did not send Evacuation and the later fields.
	earlierState struct {
		_                struct{} `cbor:",toarray"`
		Placement        uint64
		Leaving          bool
		StoreReadAgeMS   uint64
		MembersDigest    uint64
		HeardDataCentres []HeardDataCentre
	}
	// stampWithoutLink is a Stamp of the release before the one that added LinkDelayMS and the
	// later fields, and refusalWithoutLink a Refusal that contains it.
	stampWithoutLink struct {
		_                                                           struct{} `cbor:",toarray"`
		Seq                                                         uint64
		Running, Queued, Limit, ServiceUS, Slowdown, NormalSlowdown uint32
	}
	refusalWithoutLink struct {
		_         struct{} `cbor:",toarray"`
		ID        uint64
		Kind, Ran uint8
		Detail    string
		Stamp     stampWithoutLink
		NextClaim Claim
		Offered   bool
		Origin    Origin
	}
	// stampWithoutStartRate is a Stamp of the release before the one that added StartRateMilli
	// and StartTokensMilli, and refusalWithoutStartRate a Refusal that contains it.
	stampWithoutStartRate struct {
		_                                                           struct{} `cbor:",toarray"`
		Seq                                                         uint64
		Running, Queued, Limit, ServiceUS, Slowdown, NormalSlowdown uint32
		LinkDelayMS, BodyWaitMS, LinkRateKB                         uint32
	}
	refusalWithoutStartRate struct {
		_         struct{} `cbor:",toarray"`
		ID        uint64
		Kind, Ran uint8
		Detail    string
		Stamp     stampWithoutStartRate
		NextClaim Claim
		Offered   bool
		Origin    Origin
	}
	earlierStamp struct {
		_                                 struct{} `cbor:",toarray"`
		Seq                               uint64
		Running, Queued, Limit, ServiceUS uint32
	}
)

// encodeFrame returns a frame of another release as it is sent over a link, followed by a
// Cancel frame with ID 7.
func encodeFrame(t *testing.T, frameType Type, v any) []byte {
	data, err := cbor.Marshal(v)
	must.NoError(t, err)
	out := append([]byte{byte(frameType)}, data...)
	return append(append(out, byte(TypeCancel)), 0x81, 0x07)
}

// decodeFrame decodes the frame, and checks that the Cancel frame after it is intact.
func decodeFrame[F Frame](t *testing.T, data []byte) F {
	codec, err := NewCodec()
	must.NoError(t, err)
	frame, rest, err := codec.Next(data)
	must.NoError(t, err)
	following, rest, err := codec.Next(rest)
	must.NoError(t, err)
	test.Eq(t, &Cancel{ID: 7}, following.(*Cancel))
	test.SliceEmpty(t, rest)
	return frame.(F)
}

func TestNextDecodesFramesOfALaterRelease(t *testing.T) {
	refusal := decodeFrame[*Refusal](t, encodeFrame(t, TypeRefusal, laterRefusal{
		ID: 3, Kind: 4, Detail: "d", Stamp: laterStamp{Seq: 9, Limit: 2, Added: []string{"x"}}, Offered: true, Added: map[string]int{"a": 1},
	}))
	test.Eq(t, &Refusal{ID: 3, Kind: 4, Detail: "d", Stamp: Stamp{Seq: 9, Limit: 2}, Offered: true}, refusal)
	members := decodeFrame[*Members](t, encodeFrame(t, TypeMembers, laterMembers{Rows: []laterMember{{VM: "a", Slots: 3, Version: "v2", Added: 5}, {VM: "b"}}}))
	test.Eq(t, []Member{{VM: "a", Slots: 3, Version: "v2"}, {VM: "b"}}, members.Rows)
}

func TestNextDecodesAnAnswerOfAnEarlierRelease(t *testing.T) {
	answer := decodeFrame[*Answer](t, encodeFrame(t, TypeAnswer, earlierAnswer{
		ID: 5, Status: 200, Headers: []Header{{Name: "A", Value: "b"}}, Run: 8, Stamp: earlierStamp{Seq: 2}, Body: Body{Size: 1, First: []byte("x")},
	}))
	test.Eq(t, &Answer{
		ID: 5, Status: 200, Headers: []Header{{Name: "A", Value: "b"}}, Run: 8, Stamp: Stamp{Seq: 2}, Body: Body{Size: 1, First: []byte("x")},
	}, answer)
}

// TestNextDecodesStampsWithoutLinkFields: a daemon of the previous release states no delay.
func TestNextDecodesStampsWithoutLinkFields(t *testing.T) {
	refusal := decodeFrame[*Refusal](t, encodeFrame(t, TypeRefusal, refusalWithoutLink{
		ID: 3, Stamp: stampWithoutLink{Seq: 9, Running: 1, Queued: 2, Limit: 3, ServiceUS: 4, Slowdown: 5, NormalSlowdown: 6}, Offered: true, Origin: OriginService,
	}))
	test.Eq(t, &Refusal{ID: 3, Stamp: Stamp{Seq: 9, Running: 1, Queued: 2, Limit: 3, ServiceUS: 4, Slowdown: 5, NormalSlowdown: 6}, Offered: true, Origin: OriginService}, refusal)
	test.Zero(t, refusal.Stamp.LinkDelay())
	test.Zero(t, refusal.Stamp.BodyWait())
	test.Zero(t, refusal.Stamp.LinkRate())
}

// TestLinkFieldsTakeOneByteEach while nothing waits, since a stamp is sent with most answers.
func TestLinkFieldsTakeOneByteEach(t *testing.T) {
	before := stampWithoutLink{Seq: 9000, Running: 1, Queued: 2, Limit: 3, ServiceUS: 40_000, Slowdown: 100}
	stamp := Stamp{Seq: 9000, Running: 1, Queued: 2, Limit: 3, ServiceUS: 40_000, Slowdown: 100}
	encodedBefore, err := cbor.Marshal(before)
	must.NoError(t, err)
	encoded, err := cbor.Marshal(stamp)
	must.NoError(t, err)
	const linkFields, startRateFields = 3, 2
	test.Eq(t, len(encodedBefore)+linkFields+startRateFields, len(encoded))
	test.Eq(t, len(encoded), stamp.Size())
	slow := Stamp{Seq: 9000, LinkDelayMS: 24, BodyWaitMS: 300, LinkRateKB: 70_000}
	encoded, err = cbor.Marshal(slow)
	must.NoError(t, err)
	test.Eq(t, len(encoded), slow.Size())
}

// TestStartRateBetweenReleases: a daemon of the previous release states no rate limit, and
// reads the stamps of this release without it.
func TestStartRateBetweenReleases(t *testing.T) {
	earlier := refusalWithoutStartRate{ID: 3, Stamp: stampWithoutStartRate{Seq: 9, Running: 1, Limit: 3, LinkRateKB: 7}, Offered: true}
	refusal := decodeFrame[*Refusal](t, encodeFrame(t, TypeRefusal, earlier))
	test.Eq(t, &Refusal{ID: 3, Stamp: Stamp{Seq: 9, Running: 1, Limit: 3, LinkRateKB: 7}, Offered: true}, refusal)

	codec, err := NewCodec()
	must.NoError(t, err)
	refusal.Stamp.SetStartRate(5.8, -1.25)
	perSecond, tokens := refusal.Stamp.StartRate()
	test.Eq(t, 5.8, perSecond)
	test.Eq(t, -1.25, tokens)
	encoded, err := cbor.Marshal(refusal)
	must.NoError(t, err)
	fitted, err := codec.fit(encoded, reflect.TypeOf(earlier))
	must.NoError(t, err)
	var decoded refusalWithoutStartRate
	must.NoError(t, cbor.Unmarshal(fitted, &decoded))
	test.Eq(t, earlier, decoded)
}

func TestStampSizeWithAStartRate(t *testing.T) {
	for _, tokens := range []float64{0, 0.02, -0.024, -0.025, 3.5, -70, 5000, -5000} {
		stamp := Stamp{Seq: 1}
		stamp.SetStartRate(6.25, tokens)
		encoded, err := cbor.Marshal(stamp)
		must.NoError(t, err)
		test.Eq(t, len(encoded), stamp.Size(), test.Sprint(tokens))
	}
}

func TestNextDecodesMembersOfAnEarlierRelease(t *testing.T) {
	members := decodeFrame[*Members](t, encodeFrame(t, TypeMembers, earlierMembers{Rows: []earlierMember{{VM: "a", Slots: 3, Backend: BackendAbsent}}}))
	test.Eq(t, []Member{{VM: "a", Slots: 3, Backend: BackendAbsent}}, members.Rows)
}

func TestNextDecodesAStateOfAnEarlierRelease(t *testing.T) {
	state := decodeFrame[*State](t, encodeFrame(t, TypeState, earlierState{Placement: 3, HeardDataCentres: []HeardDataCentre{{DataCentre: "a", AgeMS: 4}}}))
	test.Eq(t, &State{Placement: 3, HeardDataCentres: []HeardDataCentre{{DataCentre: "a", AgeMS: 4}}}, state)
}

func TestNextSkipsAFrameTypeOfALaterRelease(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	frame, rest, err := codec.Next(encodeFrame(t, TypeCount, laterMembers{}))
	must.NoError(t, err)
	test.Nil(t, frame)
	following, _, err := codec.Next(rest)
	must.NoError(t, err)
	test.Eq(t, &Cancel{ID: 7}, following.(*Cancel))
}

func TestNextRejectsInvalidFrames(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	for name, data := range map[string][]byte{
		"a field of another type":     {byte(TypeCancel), 0x81, 0x61, 'x'},
		"not an array":                {byte(TypeRefusal), 0x07},
		"type 0":                      {0, 0x80},
		"a type longer than one byte": {24, 0x80},
		"a truncated frame":           {byte(TypeCount), 0x82, 0x01},
	} {
		_, _, err := codec.Next(data)
		test.Error(t, err, test.Sprint(name))
	}
}
