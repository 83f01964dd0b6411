package catalog

import (
	"bytes"
	"maps"
	"runtime"
	"slices"

	"github.com/cockroachdb/errors"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Change leads from one revision of the configuration to another.
type Change struct {
	From, To Revision
	// Entries are ordered by key.
	Entries []Entry
}

// Entry is an element that is set or removed.
type Entry struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Key []byte
	// Value is the encoded element; empty if it is removed.
	Value []byte
}

// Size returns the number of bytes of the entries.
func (ch *Change) Size() int {
	size := 0
	for i := range ch.Entries {
		size += len(ch.Entries[i].Key) + len(ch.Entries[i].Value)
	}
	return size
}

// Merge returns the change that leads from the start of the first to the end of the
// last of successive changes.
func Merge(changes []*Change) *Change {
	merged := &Change{From: changes[0].From, To: changes[len(changes)-1].To}
	latest := make(map[string][]byte)
	for _, ch := range changes {
		for _, entry := range ch.Entries {
			latest[string(entry.Key)] = entry.Value
		}
	}
	merged.Entries = sortedEntries(latest)
	return merged
}

func sortedEntries(values map[string][]byte) []Entry {
	entries := make([]Entry, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		entries = append(entries, Entry{Key: []byte(key), Value: values[key]})
	}
	return entries
}

// New returns a configuration with the contents.
func New(version uint64, contents Contents) (*Configuration, error) {
	var empty *Configuration
	c, _, err := empty.Replace(version, contents)
	return c, err
}

// Replace returns the version with the contents, and the change that leads to it
// from c, which may be nil. Elements that are the same pointers as in c are not
// compared. Of several elements with the same key the first one counts.
func (c *Configuration) Replace(version uint64, contents Contents) (*Configuration, *Change, error) {
	e := newEditor(c)
	values := contents.values()
	declared := make(map[string]struct{}, len(values))
	for i, value := range values {
		yieldAfter(i)
		key := elementKey(value)
		if _, repeated := declared[string(key)]; repeated {
			continue
		}
		declared[string(key)] = struct{}{}
		if known, ok := e.elements.Get(key); ok && known.value == value {
			continue
		}
		encoded, err := encodeElement(value)
		if err != nil {
			return nil, nil, err
		}
		e.set(key, value, encoded)
	}
	if c != nil {
		e.removeAllBut(c, declared)
	}
	next := e.commit(version)
	return next, &Change{From: c.Revision(), To: next.Revision(), Entries: sortedEntries(e.changed)}, nil
}

func (c *Contents) values() []any {
	values := make([]any, 0, len(c.Routes)+len(c.Services)+len(c.Accounts)+1)
	for _, route := range c.Routes {
		values = append(values, route)
	}
	for _, service := range c.Services {
		values = append(values, service)
	}
	for _, account := range c.Accounts {
		values = append(values, account)
	}
	if c.Limits != nil {
		values = append(values, c.Limits)
	}
	return values
}

// ErrOtherRevision means that a change does not start at the revision that it is
// applied to, or does not lead to the one that it states.
var ErrOtherRevision = errors.New("change belongs to another revision of the configuration")

// Apply returns the configuration that a change leads to from c, which may be nil.
func (c *Configuration) Apply(ch *Change) (*Configuration, error) {
	if ch.From != c.Revision() {
		return nil, errors.Wrapf(ErrOtherRevision, "at %v, change from %v", c.Revision(), ch.From)
	}
	e := newEditor(c)
	for i := range ch.Entries {
		yieldAfter(i)
		if err := e.apply(&ch.Entries[i]); err != nil {
			return nil, err
		}
	}
	next := e.commit(ch.To.Version)
	if next.Revision() != ch.To {
		return nil, errors.Wrapf(ErrOtherRevision, "led to %v, not %v", next.Revision(), ch.To)
	}
	return next, nil
}

// Snapshot returns the change that leads from the empty configuration to c.
func (c *Configuration) Snapshot() (*Change, error) {
	ch := &Change{To: c.Revision()}
	var err error
	c.elements.Root().Walk(func(key []byte, e *element) bool {
		yieldAfter(len(ch.Entries))
		var encoded []byte
		encoded, err = encodeElement(e.value)
		ch.Entries = append(ch.Entries, Entry{Key: key, Value: encoded})
		return err != nil
	})
	return ch, err
}

// editor makes a version from another one.
type editor struct {
	elements      *iradix.Txn[*element]
	accountsByKey *iradix.Txn[*Account]
	digest        uint64
	routeCount    int
	accountCount  int
	// tokenQuotaCount is the number of accounts with a quota in tokens, tokenQuotaSum the sum
	// of these quotas.
	tokenQuotaCount int
	tokenQuotaSum   float64
	// changed holds the encoded values of the elements that differ; nil for those
	// that are removed.
	changed map[string][]byte
	// formerAccounts and newAccounts are the values of accounts that differ.
	formerAccounts, newAccounts []*Account
}

func newEditor(c *Configuration) *editor {
	e := &editor{changed: make(map[string][]byte)}
	if c == nil {
		e.elements, e.accountsByKey = iradix.New[*element]().Txn(), iradix.New[*Account]().Txn()
		return e
	}
	e.elements, e.accountsByKey = c.elements.Txn(), c.accountsByKey.Txn()
	e.digest, e.routeCount, e.accountCount = c.digest, c.routeCount, c.accountCount
	e.tokenQuotaCount, e.tokenQuotaSum = c.tokenQuotaCount, c.tokenQuotaSum
	return e
}

// set sets an element. It has no effect if the value is the one known.
func (e *editor) set(key []byte, value any, encoded []byte) {
	hash := hashElement(key, encoded)
	former, known := e.elements.Get(key)
	if known && former.hash == hash {
		// It is found by its pointer next time.
		e.elements.Insert(key, &element{value, hash})
		return
	}
	if known {
		e.forget(former)
	}
	e.elements.Insert(key, &element{value, hash})
	e.digest += hash
	e.count(value, 1)
	e.changed[string(key)] = encoded
	if account, ok := value.(*Account); ok {
		e.newAccounts = append(e.newAccounts, account)
	}
}

func (e *editor) remove(key []byte) {
	if former, known := e.elements.Delete(key); known {
		e.forget(former)
		e.changed[string(key)] = nil
	}
}

// forget takes a former element out of what is derived from all elements.
func (e *editor) forget(former *element) {
	e.digest -= former.hash
	e.count(former.value, -1)
	if account, ok := former.value.(*Account); ok {
		e.formerAccounts = append(e.formerAccounts, account)
	}
}

func (e *editor) count(value any, by int) {
	switch v := value.(type) {
	case *Route:
		e.routeCount += by
	case *Account:
		e.accountCount += by
		if v.hasTokenQuota() {
			e.tokenQuotaCount += by
			e.tokenQuotaSum += float64(by) * v.Rate
		}
	}
}

// removeAllBut removes the elements of the former configuration that are not declared.
func (e *editor) removeAllBut(former *Configuration, declared map[string]struct{}) {
	former.elements.Root().Walk(func(key []byte, _ *element) bool {
		if _, ok := declared[string(key)]; !ok {
			e.remove(key)
		}
		return false
	})
}

// apply applies an entry of a change.
func (e *editor) apply(entry *Entry) error {
	if len(entry.Value) == 0 {
		e.remove(entry.Key)
		return nil
	}
	value, err := newValue(entry.Key)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(entry.Value, value); err != nil {
		return errors.Wrapf(err, "decode configuration element %q", entry.Key)
	}
	if !bytes.Equal(elementKey(value), entry.Key) {
		return errors.Newf("configuration element %q is stored under %q", elementKey(value), entry.Key)
	}
	e.set(entry.Key, value, entry.Value)
	return nil
}

func (e *editor) commit(version uint64) *Configuration {
	for _, account := range e.formerAccounts {
		for _, key := range account.APIKeys {
			if holder, ok := e.accountsByKey.Get([]byte(key)); ok && holder.Name == account.Name {
				e.accountsByKey.Delete([]byte(key))
			}
		}
	}
	for _, account := range e.newAccounts {
		for _, key := range account.APIKeys {
			e.accountsByKey.Insert([]byte(key), account)
		}
	}
	next := &Configuration{
		Version: version, digest: e.digest, elements: e.elements.CommitOnly(), accountsByKey: e.accountsByKey.CommitOnly(),
		routeCount: e.routeCount, accountCount: e.accountCount, tokenQuotaCount: e.tokenQuotaCount, tokenQuotaSum: e.tokenQuotaSum,
	}
	if limits, ok := next.get([]byte{kindLimits}).(*Limits); ok {
		next.limits = *limits
	}
	return next
}

// yieldEvery is the number of elements after which a long computation lets others
// run: it shares its processor with the requests.
const yieldEvery = 64

func yieldAfter(elements int) {
	if elements%yieldEvery == yieldEvery-1 {
		runtime.Gosched()
	}
}
