package platform

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestCommitIsAllOrNothing(t *testing.T) {
	m := NewMemory()
	a, b := Key{"t", "a"}, Key{"t", "b"}
	assert.NilError(t, m.Commit(t.Context(), []Write{{Key: a, Value: []byte("1")}}))

	err := m.Commit(t.Context(), []Write{{Key: b, Value: []byte("1")}, {Key: a, Value: []byte("2")}})

	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Indexes, []int{1})
	assert.Equal(t, string(conflict.Rows[0].Value), "1")
	_, err = m.Get(t.Context(), b)
	assert.ErrorIs(t, err, ErrNotFound)
}
