// Package platform declares the interfaces of the operator's platform that
// the system uses: a transactional table service, an object store and an
// instance list (Platform). Memory implements them for tests.
//
// Callers must handle three kinds of failure: ErrUnavailable (nothing was
// done), ErrOutcomeUnknown (a write may have taken effect) and, for commits,
// ConflictError (nothing was done because a row had another version than
// expected).
package platform

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors returned by all implementations.
var (
	// ErrUnavailable means that the service is unavailable and nothing was
	// done.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Version counts the writes to a row; 0 means that the row does not exist.
type Version uint64

// AnyVersion in Write.ExpectedVersion makes a write unconditional.
const AnyVersion Version = 1<<64 - 1

// Key identifies a row.
type Key struct {
	// Table is the name of the table.
	Table string `json:"table"`
	// ID is the key of the row within the table.
	ID string `json:"id"`
}

// Row is a row with its version.
type Row struct {
	Key
	// Version increases with each write to the row.
	Version Version `json:"version"`
	// Value is the content of the row.
	Value []byte `json:"value"`
}

// Write is one write of a transaction.
type Write struct {
	Key
	// ExpectedVersion is the version that the row must have; 0 means that it
	// must not exist.
	ExpectedVersion Version `json:"expect"`
	// Value is the new content; it is ignored when Delete is set.
	Value []byte `json:"value"`
	// Delete deletes the row.
	Delete bool `json:"delete,omitempty"`
	// CheckOnly verifies ExpectedVersion and writes nothing.
	CheckOnly bool `json:"check_only,omitempty"`
}

// ConflictError lists the writes of a transaction whose rows had other
// versions than expected. The transaction had no effect.
type ConflictError struct {
	// Indexes are positions in the slice passed to Commit.
	Indexes []int `json:"indexes"`
	// Rows are the current rows at those positions, in the same order; a row
	// with Version 0 does not exist.
	Rows []Row `json:"rows"`
}

// Error returns the number of conflicting writes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %d writes conflict", len(e.Indexes))
}

// TableService is a transactional store of small rows.
type TableService interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key Key) (Row, error)
	// Scan returns up to limit rows of a table whose IDs have the prefix, in
	// order of ID.
	Scan(ctx context.Context, table, prefix string, limit int) ([]Row, error)
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is a store of larger values.
type ObjectStore interface {
	// PutObject stores a value under a name and replaces an existing one.
	PutObject(ctx context.Context, name string, value []byte) error
	// GetObject returns a value, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject deletes a value; a missing one is not an error.
	DeleteObject(ctx context.Context, name string) error
}

// Role is the role of an instance in the instance list.
type Role string

// The roles in the instance list.
const (
	// RoleEntry is an instance of this system.
	RoleEntry Role = "entry"
	// RoleTarget is a target.
	RoleTarget Role = "target"
)

// ListedInstance is one entry of the instance list.
type ListedInstance struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Pool is the pool label of a target.
	Pool string `json:"pool,omitempty"`
	// Version, Slots and KVTokens describe a target; see tables.Target.
	Version  string `json:"version,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	KVTokens int    `json:"kv_tokens,omitempty"`
	// Leaving is set when the platform has announced that it will stop the
	// instance.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the list of instances that the platform maintains; it lags
// behind their actual state.
type InstanceList interface {
	// Instances returns the whole list.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// Platform combines all services of the platform.
type Platform interface {
	TableService
	ObjectStore
	InstanceList
}
