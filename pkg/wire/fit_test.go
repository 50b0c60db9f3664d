package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// laterStamp, laterRefusal, laterMember and laterMembers are frames of a release
// after this one: each has a field more at its end.
type (
	laterStamp struct {
		_                                                  struct{} `cbor:",toarray"`
		Seq                                                uint64
		Running, Queued, Limit, ServiceUS, Slowdown, Usual uint32
		Added                                              []string
	}
	laterRefusal struct {
		_         struct{} `cbor:",toarray"`
		ID        uint64
		Kind, Ran uint8
		Detail    string
		Stamp     laterStamp
		Next      Claim
		Offered   bool
		Origin    Origin
		Added     map[string]int
	}
	laterMember struct {
		_                                           struct{} `cbor:",toarray"`
		VM                                          string
		Started, Incarnation                        uint64
		State                                       MemberState
		Region, DataCentre, Service, Links, Callers string
		Slots                                       uint32
		Revision                                    uint64
		Backend                                     BackendState
		Version                                     string
		Added                                       uint64
	}
	// earlierMember is a row of the release before versions were told.
	earlierMember struct {
		_                                           struct{} `cbor:",toarray"`
		VM                                          string
		Started, Incarnation                        uint64
		State                                       MemberState
		Region, DataCentre, Service, Links, Callers string
		Slots                                       uint32
		Revision                                    uint64
		Backend                                     BackendState
	}
	earlierMembers struct {
		_    struct{} `cbor:",toarray"`
		Rows []earlierMember
	}
	laterMembers struct {
		_    struct{} `cbor:",toarray"`
		Rows []laterMember
	}
	// earlierAnswer is an answer of the release before slowdowns were told.
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
	// earlierState is a state of the release before evacuated data centres were told.
	earlierState struct {
		_          struct{} `cbor:",toarray"`
		Placement  uint64
		Leaving    bool
		StoreAgeMS uint64
		Members    uint64
		Heard      []HeardDataCentre
	}
	earlierStamp struct {
		_                                 struct{} `cbor:",toarray"`
		Seq                               uint64
		Running, Queued, Limit, ServiceUS uint32
	}
)

// framed is a frame of another release as it comes over a link, with another
// frame behind it.
func framed(t *testing.T, kind Type, v any) []byte {
	data, err := cbor.Marshal(v)
	must.NoError(t, err)
	out := append([]byte{byte(kind)}, data...)
	return append(append(out, byte(TypeCancel)), 0x81, 0x07)
}

// next reads the frame, and that the one behind it is still whole.
func next[F Frame](t *testing.T, data []byte) F {
	codec, err := NewCodec()
	must.NoError(t, err)
	frame, rest, err := codec.Next(data)
	must.NoError(t, err)
	behind, rest, err := codec.Next(rest)
	must.NoError(t, err)
	test.Eq(t, &Cancel{ID: 7}, behind.(*Cancel))
	test.SliceEmpty(t, rest)
	return frame.(F)
}

func TestAFrameOfTheNextReleaseIsRead(t *testing.T) {
	refusal := next[*Refusal](t, framed(t, TypeRefusal, laterRefusal{
		ID: 3, Kind: 4, Detail: "d", Stamp: laterStamp{Seq: 9, Limit: 2, Added: []string{"x"}}, Offered: true, Added: map[string]int{"a": 1},
	}))
	test.Eq(t, &Refusal{ID: 3, Kind: 4, Detail: "d", Stamp: Stamp{Seq: 9, Limit: 2}, Offered: true}, refusal)
	members := next[*Members](t, framed(t, TypeMembers, laterMembers{Rows: []laterMember{{VM: "a", Slots: 3, Version: "v2", Added: 5}, {VM: "b"}}}))
	test.Eq(t, []Member{{VM: "a", Slots: 3, Version: "v2"}, {VM: "b"}}, members.Rows)
}

func TestAFrameOfTheReleaseBeforeIsRead(t *testing.T) {
	answer := next[*Answer](t, framed(t, TypeAnswer, earlierAnswer{
		ID: 5, Status: 200, Headers: []Header{{Name: "A", Value: "b"}}, Run: 8, Stamp: earlierStamp{Seq: 2}, Body: Body{Size: 1, First: []byte("x")},
	}))
	test.Eq(t, &Answer{
		ID: 5, Status: 200, Headers: []Header{{Name: "A", Value: "b"}}, Run: 8, Stamp: Stamp{Seq: 2}, Body: Body{Size: 1, First: []byte("x")},
	}, answer)
}

func TestAMemberOfTheReleaseBeforeHasNoVersion(t *testing.T) {
	members := next[*Members](t, framed(t, TypeMembers, earlierMembers{Rows: []earlierMember{{VM: "a", Slots: 3, Backend: BackendAbsent}}}))
	test.Eq(t, []Member{{VM: "a", Slots: 3, Backend: BackendAbsent}}, members.Rows)
}

func TestAStateOfTheReleaseBeforeIsRead(t *testing.T) {
	state := next[*State](t, framed(t, TypeState, earlierState{Placement: 3, Heard: []HeardDataCentre{{DataCentre: "a", AgeMS: 4}}}))
	test.Eq(t, &State{Placement: 3, HeardDataCentres: []HeardDataCentre{{DataCentre: "a", AgeMS: 4}}}, state)
}

func TestAFrameTypeOfTheNextReleaseIsPassedOver(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	frame, rest, err := codec.Next(framed(t, TypeCount, laterMembers{}))
	must.NoError(t, err)
	test.Nil(t, frame)
	behind, _, err := codec.Next(rest)
	must.NoError(t, err)
	test.Eq(t, &Cancel{ID: 7}, behind.(*Cancel))
}

func TestWhatIsNoFrameStaysAnError(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	for name, data := range map[string][]byte{
		"another type of field": {byte(TypeCancel), 0x81, 0x61, 'x'},
		"no array":              {byte(TypeRefusal), 0x07},
		"type 0":                {0, 0x80},
		"a type over a byte":    {24, 0x80},
		"cut":                   {byte(TypeCount), 0x82, 0x01},
	} {
		_, _, err := codec.Next(data)
		test.Error(t, err, test.Sprint(name))
	}
}
