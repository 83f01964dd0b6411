package placement

// responseAddition are the parts of a slotResponse that earlier builds do not have. It is
// encoded by the names of its fields: others may be added.
type responseAddition struct {
	// CachedTokens belongs to a grant: the prompt tokens expected to be cached.
	CachedTokens int `msgpack:"c,omitempty"`
}

// encodeResponse encodes a response with its addition.
func encodeResponse(r *slotResponse) ([]byte, error) {
	body, err := encode(kindSlotResponse, r)
	if err != nil || r.addition == nil {
		return body, err
	}
	return appendAddition(body, r.addition)
}

// decodeResponse decodes a response with its addition, if there is one.
func decodeResponse(body []byte) (*slotResponse, error) {
	var r slotResponse
	if err := decodeWithAddition(body, &r, &r.addition); err != nil {
		return nil, err
	}
	return &r, nil
}

// cachedTokens returns the prompt tokens expected to be cached.
func (r *slotResponse) cachedTokens() int {
	if r.addition == nil {
		return 0
	}
	return r.addition.CachedTokens
}

// heldUnit is the number of tokens in which held memory is reported, rounded up: one byte
// for most requests, so that a full renewal still fits in one packet.
const heldUnit = 256

// encodeRenewal encodes a renewal. The memory of its requests, in units of heldUnit, is
// appended if there is any; instances of earlier builds do not read it.
func encodeRenewal(r *leaseRenewal) ([]byte, error) {
	body, err := encode(kindRenewal, r)
	held, anyHeld := make([]int, len(r.Running)), false
	for i := range r.Running {
		held[i] = (r.Running[i].heldTokens + heldUnit - 1) / heldUnit
		anyHeld = anyHeld || held[i] > 0
	}
	if err != nil || !anyHeld {
		return body, err
	}
	return appendAddition(body, held)
}

// decodeRenewal decodes a renewal with its addition, if there is one.
func decodeRenewal(body []byte) (*leaseRenewal, error) {
	var r leaseRenewal
	var held []int
	if err := decodeWithAddition(body, &r, &held); err != nil {
		return nil, err
	}
	for i := range min(len(held), len(r.Running)) {
		r.Running[i].heldTokens = max(0, held[i]) * heldUnit
	}
	return &r, nil
}
