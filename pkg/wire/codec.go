package wire

import (
	"bytes"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits on what a peer may send in one message. Larger bodies are split into chunks.
const (
	// MaxMessage is the maximum size of a received WebSocket message, in bytes.
	MaxMessage = 4 << 20
	// ChunkSize is how many bytes of a body one frame contains at most.
	ChunkSize = 32 << 10
	// GrantedChunkSize is how many bytes of a granted body one frame contains at most.
	GrantedChunkSize = 8 << 10
	maxArrayLen      = 1 << 16
	maxNestedLevels  = 8
)

// Frame is implemented by all frames of this package.
type Frame interface {
	// Type returns the type that is sent before the frame.
	Type() Type
}

// Type implements Frame.
func (*Hello) Type() Type { return TypeHello }

// Type implements Frame.
func (*Call) Type() Type { return TypeCall }

// Type implements Frame.
func (*Chunk) Type() Type { return TypeChunk }

// Type implements Frame.
func (*Answer) Type() Type { return TypeAnswer }

// Type implements Frame.
func (*Refusal) Type() Type { return TypeRefusal }

// Type implements Frame.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Frame.
func (*State) Type() Type { return TypeState }

// Type implements Frame.
func (*Pull) Type() Type { return TypePull }

// Type implements Frame.
func (*Update) Type() Type { return TypeUpdate }

// Type implements Frame.
func (*Members) Type() Type { return TypeMembers }

// Type implements Frame.
func (*MembersAsk) Type() Type { return TypeMembersAsk }

// Type implements Frame.
func (*Departures) Type() Type { return TypeDepartures }

// Type implements Frame.
func (*RolloutNews) Type() Type { return TypeRolloutNews }

// Type implements Frame.
func (*RolloutReport) Type() Type { return TypeRolloutReport }

// Type implements Frame.
func (*Quarantine) Type() Type { return TypeQuarantine }

// Type implements Frame.
func (*QuotaAsk) Type() Type { return TypeQuotaAsk }

// Type implements Frame.
func (*QuotaGrant) Type() Type { return TypeQuotaGrant }

// Type implements Frame.
func (*RetryAsk) Type() Type { return TypeRetryAsk }

// Type implements Frame.
func (*RetryGrant) Type() Type { return TypeRetryGrant }

// Type implements Frame.
func (*Grant) Type() Type { return TypeGrant }

// Type implements Frame.
func (*Ack) Type() Type { return TypeAck }

// Codec encodes and decodes frames. It is safe for concurrent use.
type Codec struct {
	enc cbor.UserBufferEncMode
	dec cbor.DecMode
}

// NewCodec returns a Codec with the limits of this package.
func NewCodec() (*Codec, error) {
	enc, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create the frame encoder")
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxArrayLen,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		// Headers of callers and of backend servers may hold any bytes.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "create the frame decoder")
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Append encodes one frame, with its type before it, to buf.
func (c *Codec) Append(buf *bytes.Buffer, frame Frame) error {
	buf.WriteByte(byte(frame.Type()))
	return errors.Wrapf(c.enc.MarshalToBuffer(frame, buf), "encode frame of type %d", frame.Type())
}

// Next decodes the first frame of data and returns it with the rest of data. It skips a
// frame of a type that a later release may have added, and returns nil as the frame.
func (c *Codec) Next(data []byte) (Frame, []byte, error) {
	if len(data) == 0 {
		return nil, nil, errors.New("no frame to decode")
	}
	if t := Type(data[0]); t >= TypeCount && t <= maxType {
		rest, err := c.skipItem(data[1:])
		return nil, rest, errors.Wrapf(err, "skip frame of type %d", t)
	}
	frame, err := newFrame(Type(data[0]))
	if err != nil {
		return nil, nil, err
	}
	rest, err := c.dec.UnmarshalFirst(data[1:], frame)
	var mismatch *cbor.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return c.decodeOtherRelease(data)
	}
	if err != nil {
		return nil, nil, errors.Wrapf(err, "decode frame of type %d", data[0])
	}
	return frame, rest, nil
}

// maxType is the highest type that a later release may add: CBOR encodes unsigned integers
// up to 23 in one byte.
const maxType = 23

// skipItem returns the data after the first CBOR item.
func (c *Codec) skipItem(data []byte) (rest []byte, err error) {
	var skipped cbor.RawMessage
	return c.dec.UnmarshalFirst(data, &skipped)
}

// decodeOtherRelease decodes the first frame of data if it has more or fewer fields than
// in this release.
func (c *Codec) decodeOtherRelease(data []byte) (Frame, []byte, error) {
	var raw cbor.RawMessage
	rest, err := c.dec.UnmarshalFirst(data[1:], &raw)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "decode frame of type %d", data[0])
	}
	frame, err := newFrame(Type(data[0]))
	if err != nil {
		return nil, nil, err
	}
	fitted, err := c.fit(raw, reflect.TypeOf(frame).Elem())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "decode frame of type %d", data[0])
	}
	if err := c.dec.Unmarshal(fitted, frame); err != nil {
		return nil, nil, errors.Wrapf(err, "decode frame of type %d", data[0])
	}
	return frame, rest, nil
}

func newFrame(t Type) (Frame, error) {
	switch t {
	case TypeHello:
		return &Hello{}, nil
	case TypeCall:
		return &Call{}, nil
	case TypeChunk:
		return &Chunk{}, nil
	case TypeAnswer:
		return &Answer{}, nil
	case TypeRefusal:
		return &Refusal{}, nil
	case TypeCancel:
		return &Cancel{}, nil
	case TypeState:
		return &State{}, nil
	case TypePull:
		return &Pull{}, nil
	case TypeUpdate:
		return &Update{}, nil
	case TypeMembers:
		return &Members{}, nil
	case TypeMembersAsk:
		return &MembersAsk{}, nil
	case TypeDepartures:
		return &Departures{}, nil
	case TypeRolloutNews:
		return &RolloutNews{}, nil
	case TypeRolloutReport:
		return &RolloutReport{}, nil
	case TypeQuarantine:
		return &Quarantine{}, nil
	case TypeQuotaAsk:
		return &QuotaAsk{}, nil
	case TypeQuotaGrant:
		return &QuotaGrant{}, nil
	case TypeGrant:
		return &Grant{}, nil
	case TypeAck:
		return &Ack{}, nil
	case TypeRetryAsk:
		return &RetryAsk{}, nil
	case TypeRetryGrant:
		return &RetryGrant{}, nil
	}
	return nil, errors.Errorf("unknown frame type %d", t)
}
