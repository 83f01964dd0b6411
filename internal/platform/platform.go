// Package platform declares what the system uses of the operator's platform:
// a transactional table service, an object store and an instance list.
//
// Callers must expect three kinds of failure: ErrUnavailable (nothing was
// done), ErrOutcomeUnknown (a write may have taken effect) and, for commits,
// a ConflictError (nothing was done since an expectation did not hold).
package platform

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Errors returned by all implementations.
var (
	// ErrUnavailable means that the service is down and nothing was done.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Version counts the writes to one row; 0 means that the row is absent.
type Version uint64

// AnyVersion in Write.Expect lets the write take effect whatever the row holds.
const AnyVersion Version = 1<<64 - 1

// Key names a row.
type Key struct {
	// Table is the table's name.
	Table string `json:"table"`
	// ID is the row's key within the table.
	ID string `json:"id"`
}

// Row is the content of one row.
type Row struct {
	Key
	// Version rises with each write to the row.
	Version Version `json:"version"`
	// Value is the row's content.
	Value []byte `json:"value"`
}

// Write is one change within a transaction.
type Write struct {
	Key
	// ExpectedVersion is the version that the row must have; 0 means absent.
	ExpectedVersion Version `json:"expect"`
	// Value is the new content; it is ignored when Delete is set.
	Value []byte `json:"value"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
	// CheckOnly verifies Expect and changes nothing.
	CheckOnly bool `json:"check_only,omitempty"`
}

// ConflictError tells which writes of a transaction did not meet their
// expectation. The transaction had no effect.
type ConflictError struct {
	// Indexes are positions in the slice given to Commit.
	Indexes []int `json:"indexes"`
	// Rows are the present rows at those positions, in the same order; a row
	// with Version 0 is absent.
	Rows []Row `json:"rows"`
}

// Error names the number of conflicting writes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %d writes conflict", len(e.Indexes))
}

// TableService is the platform's transactional store of small rows.
type TableService interface {
	// Get reads one row; a missing row gives ErrNotFound.
	Get(ctx context.Context, key Key) (Row, error)
	// Scan reads up to limit rows of a table whose id has the prefix, by id.
	Scan(ctx context.Context, table, prefix string, limit int) ([]Row, error)
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is the platform's store of larger values.
type ObjectStore interface {
	// PutObject stores a value under a name, replacing an older one.
	PutObject(ctx context.Context, name string, value []byte) error
	// GetObject reads a value; a missing one gives ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject removes a value; a missing one is no error.
	DeleteObject(ctx context.Context, name string) error
}

// Role tells what an instance in the list is for.
type Role string

// The values of Role.
const (
	// RoleEntry marks an instance of this system.
	RoleEntry Role = "entry"
	// RoleTarget marks a target.
	RoleTarget Role = "target"
)

// ListedInstance is one instance in the instance list.
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
	// Leaving is set when the platform has announced the instance's end.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances reads the whole list.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// Platform is everything that the platform offers.
type Platform interface {
	TableService
	ObjectStore
	InstanceList
}
