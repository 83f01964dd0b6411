package credit

// Slots counts requests that run at once on a target.
type Slots int

// Tokens counts prompt and output tokens held at once by a target.
type Tokens int

// Amount is a quantity of both resources of a target.
type Amount struct {
	Slots  Slots
	Tokens Tokens
}

// Unbounded is the token limit of targets that have none.
const Unbounded Tokens = 1 << 40

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.Tokens + b.Tokens}
}

// Minus returns the difference, with negative parts set to zero.
func (a Amount) Minus(b Amount) Amount {
	return Amount{max(0, a.Slots-b.Slots), max(0, a.Tokens-b.Tokens)}
}

// Max returns the larger of each part.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Slots, b.Slots), max(a.Tokens, b.Tokens)}
}

// Min returns the smaller of each part.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.Tokens, b.Tokens)}
}

// Covers reports whether b fits in a.
func (a Amount) Covers(b Amount) bool {
	return b.Slots <= a.Slots && b.Tokens <= a.Tokens
}

// StaticShare returns the part of capacity that the member of the given rank
// uses without a lease. The shares of all ranks below members add up to the
// capacity, so that entries need no agreement beyond the view.
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
