package credit

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// wireUnbounded represents Unbounded on the wire.
const wireUnbounded = -1

// EncodeMsgpack encodes the zero Amount as nil, and others as an array of two.
func (a Amount) EncodeMsgpack(e *msgpack.Encoder) error {
	if a == (Amount{}) {
		return e.EncodeNil()
	}
	tokens := int64(a.Tokens)
	if a.Tokens >= Unbounded {
		tokens = wireUnbounded
	}
	if err := e.EncodeArrayLen(2); err != nil {
		return err
	}
	if err := e.EncodeInt(int64(a.Slots)); err != nil {
		return err
	}
	return e.EncodeInt(tokens)
}

// DecodeMsgpack decodes the encoding of EncodeMsgpack.
func (a *Amount) DecodeMsgpack(d *msgpack.Decoder) error {
	if n, err := d.DecodeArrayLen(); err != nil || n < 2 {
		*a = Amount{}
		return err
	}
	slots, err := d.DecodeInt()
	if err != nil {
		return err
	}
	tokens, err := d.DecodeInt()
	if tokens == wireUnbounded {
		tokens = int(Unbounded)
	}
	*a = Amount{Slots: Slots(slots), Tokens: Tokens(tokens)}
	return err
}

// EncodeMsgpack encodes the zero PerTier as nil, and others as an array by tier.
func (p PerTier) EncodeMsgpack(e *msgpack.Encoder) error {
	if p == (PerTier{}) {
		return e.EncodeNil()
	}
	if err := e.EncodeArrayLen(tables.TierCount); err != nil {
		return err
	}
	for _, a := range p {
		if err := a.EncodeMsgpack(e); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack decodes the encoding of EncodeMsgpack.
func (p *PerTier) DecodeMsgpack(d *msgpack.Decoder) error {
	*p = PerTier{}
	n, err := d.DecodeArrayLen()
	for i := 0; err == nil && i < n; i++ {
		var a Amount
		err = a.DecodeMsgpack(d)
		if i < tables.TierCount {
			p[i] = a
		}
	}
	return err
}
