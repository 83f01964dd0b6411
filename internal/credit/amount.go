package credit

// Slots is a number of concurrent requests on a target.
type Slots int

// Tokens is a number of prompt and output tokens held concurrently by a target.
type Tokens int

// Amount is a quantity of a target's two resources.
type Amount struct {
	Slots  Slots
	Tokens Tokens
}

// Unbounded is the token capacity of targets without a token limit.
const Unbounded Tokens = 1 << 40

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.Tokens + b.Tokens}
}

// Minus returns a - b, with negative parts set to zero.
func (a Amount) Minus(b Amount) Amount {
	return Amount{max(0, a.Slots-b.Slots), max(0, a.Tokens-b.Tokens)}
}

// Max returns the larger value of each part.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Slots, b.Slots), max(a.Tokens, b.Tokens)}
}

// Min returns the smaller value of each part.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.Tokens, b.Tokens)}
}

// Covers reports whether b fits in a.
func (a Amount) Covers(b Amount) bool {
	return b.Slots <= a.Slots && b.Tokens <= a.Tokens
}

// StaticShare returns the part of the capacity that the member of the given rank
// uses without a lease. The slots of all ranks add up to the capacity, and bounded
// tokens do not exceed it, so that entries need to agree only on the membership view.
func StaticShare(capacity Amount, rank, members int) Amount {
	if members <= 1 {
		return capacity
	}
	if rank < 0 || rank >= members {
		return Amount{}
	}
	slots := capacity.Slots / Slots(members)
	if rank < int(capacity.Slots)%members {
		slots++
	}
	if capacity.Tokens >= Unbounded {
		return Amount{Slots: slots, Tokens: Unbounded}
	}
	if capacity.Slots == 0 {
		return Amount{}
	}
	return Amount{Slots: slots, Tokens: capacity.Tokens * Tokens(slots) / Tokens(capacity.Slots)}
}
