package platform

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is an in-memory Platform, used as a fake in tests and as the state
// of the stand-in platform. Its operations fail only when InjectFault returns
// an error or the context has ended.
type Memory struct {
	// InjectFault, when set, is called before each operation with its name
	// ("get", "scan", "commit", "put_object", "get_object", "delete_object",
	// "instances"). If it returns ErrOutcomeUnknown for a write, the
	// operation takes effect, unless it conflicts, and returns that error;
	// any other error is returned in place of the operation. It must be set
	// before the first operation.
	InjectFault func(ctx context.Context, operation string) error

	// mu guards the fields below.
	mu        sync.Mutex
	rows      map[Key]Row
	objects   map[string][]byte
	instances []ListedInstance
	writes    int
	reads     int
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{rows: make(map[Key]Row), objects: make(map[string][]byte)}
}

// Counts returns how many writes (rows in commits, and objects) and reads
// were carried out.
func (m *Memory) Counts() (writes, reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes, m.reads
}

// SetInstances replaces the instance list.
func (m *Memory) SetInstances(list []ListedInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(list)
}

// Get implements TableService.
func (m *Memory) Get(ctx context.Context, key Key) (Row, error) {
	if err := m.checkFault(ctx, "get"); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	row, ok := m.rows[key]
	if !ok {
		return Row{}, ErrNotFound
	}
	return cloneRow(row), nil
}

// Scan implements TableService.
func (m *Memory) Scan(ctx context.Context, table, prefix string, limit int) ([]Row, error) {
	if err := m.checkFault(ctx, "scan"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var found []Row
	for key, row := range m.rows {
		if key.Table == table && strings.HasPrefix(key.ID, prefix) {
			found = append(found, cloneRow(row))
		}
	}
	slices.SortFunc(found, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	if len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit implements TableService.
func (m *Memory) Commit(ctx context.Context, writes []Write) error {
	fault := m.checkFault(ctx, "commit")
	if fault != nil && fault != ErrOutcomeUnknown {
		return fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if conflict := m.checkConflicts(writes); conflict != nil {
		if fault != nil {
			return fault
		}
		return conflict
	}
	for _, w := range writes {
		m.applyWrite(w)
	}
	return fault
}

// checkConflicts compares the versions of all rows with the expected ones;
// m.mu is held.
func (m *Memory) checkConflicts(writes []Write) error {
	var conflict ConflictError
	for i, w := range writes {
		row := m.rows[w.Key]
		if w.ExpectedVersion != AnyVersion && row.Version != w.ExpectedVersion {
			row.Key = w.Key
			conflict.Indexes = append(conflict.Indexes, i)
			conflict.Rows = append(conflict.Rows, cloneRow(row))
		}
	}
	if len(conflict.Indexes) > 0 {
		return &conflict
	}
	return nil
}

// applyWrite carries out one write; m.mu is held.
func (m *Memory) applyWrite(w Write) {
	if w.CheckOnly {
		return
	}
	m.writes++
	if w.Delete {
		delete(m.rows, w.Key)
		return
	}
	m.rows[w.Key] = Row{Key: w.Key, Version: m.rows[w.Key].Version + 1, Value: slices.Clone(w.Value)}
}

// PutObject implements ObjectStore.
func (m *Memory) PutObject(ctx context.Context, name string, value []byte) error {
	fault := m.checkFault(ctx, "put_object")
	if fault != nil && fault != ErrOutcomeUnknown {
		return fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	m.objects[name] = slices.Clone(value)
	return fault
}

// GetObject implements ObjectStore.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := m.checkFault(ctx, "get_object"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	value, ok := m.objects[name]
	if !ok {
		return nil, ErrNotFound
	}
	return slices.Clone(value), nil
}

// DeleteObject implements ObjectStore.
func (m *Memory) DeleteObject(ctx context.Context, name string) error {
	fault := m.checkFault(ctx, "delete_object")
	if fault != nil && fault != ErrOutcomeUnknown {
		return fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	delete(m.objects, name)
	return fault
}

// Instances implements InstanceList.
func (m *Memory) Instances(ctx context.Context) ([]ListedInstance, error) {
	if err := m.checkFault(ctx, "instances"); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	return slices.Clone(m.instances), nil
}

// checkFault returns the error to inject into an operation, ErrUnavailable if
// the context has ended, or nil.
func (m *Memory) checkFault(ctx context.Context, operation string) error {
	if err := ctx.Err(); err != nil {
		return ErrUnavailable
	}
	if m.InjectFault == nil {
		return nil
	}
	return m.InjectFault(ctx, operation)
}

func cloneRow(row Row) Row {
	row.Value = slices.Clone(row.Value)
	return row
}
