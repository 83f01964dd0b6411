package catalog

import (
	"bytes"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Revision identifies the content of a configuration. The zero value is that of an
// empty one.
type Revision struct {
	Version uint64
	// Digest depends on all elements, not on their order.
	Digest uint64
}

// Contents are all that a version of the configuration declares. Elements that are
// the same as in another version may be the same pointers; they must not be changed.
type Contents struct {
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Limits   *Limits
}

// Declaration is a version of the configuration as the operator has declared it.
type Declaration struct {
	Version uint64
	// Bytes is the size of what was decoded.
	Bytes int
	// Traits are those of the services, by name. They are not part of the configuration.
	Traits map[string]ServiceTraits
	Contents
}

// Configuration is one version of the operator's configuration. It is immutable; nil
// is the empty one, with no element.
type Configuration struct {
	Version uint64
	digest  uint64
	// elements holds all elements by their keys; see elementKey.
	elements *iradix.Tree[*element]
	// accountsByKey maps API keys to accounts.
	accountsByKey *iradix.Tree[*Account]
	limits        Limits
	routeCount    int
	accountCount  int
	// tokenQuotaCount is the number of accounts with a quota in tokens, tokenQuotaSum the sum
	// of these quotas.
	tokenQuotaCount int
	tokenQuotaSum   float64
}

// element is a route, service, account, or the limits.
type element struct {
	// value is a *Route, *Service, *Account or *Limits.
	value any
	// hash is that of the key and the encoded value.
	hash uint64
}

// The first byte of an element's key is its kind.
const (
	kindRoute   = 'r'
	kindService = 's'
	kindAccount = 'a'
	kindLimits  = 'l'
)

// routeKey returns the key of a route. Since a prefix ends with a slash, the longest
// key that a request's host and path begin with is that of its route.
func routeKey(host, path string) []byte {
	key := make([]byte, 0, 2+len(host)+len(path))
	key = append(key, kindRoute)
	key = append(key, strings.ToLower(host)...)
	key = append(key, 0)
	return append(key, path...)
}

func namedKey(kind byte, name string) []byte { return append([]byte{kind}, name...) }

// elementKey returns the key of an element, or nil if the value is no element.
func elementKey(value any) []byte {
	switch v := value.(type) {
	case *Route:
		return routeKey(v.Host, v.Prefix)
	case *Service:
		return namedKey(kindService, v.Name)
	case *Account:
		return namedKey(kindAccount, v.Name)
	case *Limits:
		return []byte{kindLimits}
	}
	return nil
}

// newValue returns an empty value for an element with a key.
func newValue(key []byte) (any, error) {
	if len(key) > 0 {
		switch key[0] {
		case kindRoute:
			return &Route{}, nil
		case kindService:
			return &Service{}, nil
		case kindAccount:
			return &Account{}, nil
		case kindLimits:
			return &Limits{}, nil
		}
	}
	return nil, errors.Newf("unknown kind of configuration element %q", key)
}

// encodeElement encodes a value by position of its fields.
func encodeElement(value any) ([]byte, error) {
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return body.Bytes(), errors.Wrap(err, "encode configuration element")
}

func hashElement(key, encoded []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(encoded)
	return d.Sum64()
}

// Revision returns what identifies the content.
func (c *Configuration) Revision() Revision {
	if c == nil {
		return Revision{}
	}
	return Revision{c.Version, c.digest}
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.routeCount }

// HasAccounts reports whether there are client accounts; if so, requests need a key.
func (c *Configuration) HasAccounts() bool { return c.accountCount > 0 }

// AccountWeight returns the share of scarce capacity that an account is entitled to, relative
// to the mean of all: by its quota if all accounts have one in tokens, else 1, since quotas in
// different units cannot be compared.
func (c *Configuration) AccountWeight(account *Account) float64 {
	if c.tokenQuotaCount < c.accountCount || c.tokenQuotaSum <= 0 {
		return 1
	}
	return account.Rate * float64(c.accountCount) / c.tokenQuotaSum
}

// get returns the value of an element, or nil.
func (c *Configuration) get(key []byte) any {
	if e, ok := c.elements.Get(key); ok {
		return e.value
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (c *Configuration) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	_, e, ok := c.elements.Root().LongestPrefix(routeKey(host, path))
	if !ok {
		return nil
	}
	return e.value.(*Route)
}

// Service returns the service with a name; the zero value if it is not declared.
func (c *Configuration) Service(name string) Service {
	if s, ok := c.get(namedKey(kindService, name)).(*Service); ok {
		return *s
	}
	return Service{}
}

// Account returns the account with a name, or nil.
func (c *Configuration) Account(name string) *Account {
	account, _ := c.get(namedKey(kindAccount, name)).(*Account)
	return account
}

// AccountForKey returns the account that holds the API key, or nil.
func (c *Configuration) AccountForKey(key string) *Account {
	account, _ := c.accountsByKey.Get([]byte(key))
	return account
}

// Limits returns the limits on what callers may send.
func (c *Configuration) Limits() Limits { return c.limits }

// Contents returns all elements.
func (c *Configuration) Contents() Contents {
	var contents Contents
	c.elements.Root().Walk(func(_ []byte, e *element) bool {
		switch v := e.value.(type) {
		case *Route:
			contents.Routes = append(contents.Routes, v)
		case *Service:
			contents.Services = append(contents.Services, v)
		case *Account:
			contents.Accounts = append(contents.Accounts, v)
		case *Limits:
			contents.Limits = v
		}
		return false
	})
	return contents
}
