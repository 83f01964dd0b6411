package placement

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Messages are encoded by position. One with another number of fields cannot be decoded
// by instances of earlier builds, which then place requests without a coordinator.
func TestMessagesKeepTheirNumberOfFields(t *testing.T) {
	for _, tc := range []struct {
		name    string
		message any
		fields  int
	}{
		{"slotRequest", &slotRequest{}, 20},
		{"slotResponse", &slotResponse{}, 12},
		{"progressReport", &progressReport{}, 7},
		{"leaseRenewal", &leaseRenewal{}, 2},
		{"runningRequest", &runningRequest{}, 3},
		{"takeoverNotice", &takeoverNotice{}, 3},
		{"groupProbe", &groupProbe{}, 2},
		{"capacityReport", &capacityReport{}, 2},
		{"groupCapacity", &groupCapacity{}, 4},
		{"termsReport", &termsReport{}, 2},
		{"targetTerms", &targetTerms{}, 6},
	} {
		body, err := encode(kindSlotRequest, tc.message)
		assert.NilError(t, err)
		var fields []any
		assert.NilError(t, msgpack.Unmarshal(body[1:], &fields))
		assert.Check(t, len(fields) == tc.fields, "%s: %d fields", tc.name, len(fields))
	}
	longer, err := msgpack.Marshal([]any{true, []any{}, "added"})
	assert.NilError(t, err)
	assert.Assert(t, decode(longer, &leaseRenewal{}) != nil, "the codec ignores added fields")
}
