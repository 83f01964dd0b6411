// Package settings reads the settings file of one instance: its addresses,
// limits and secret files.
//
// Load and Parse validate the file and fill in defaults.
package settings

import (
	"cmp"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuspost/hibiscuspost/internal/strictjson"
	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// Defaults for settings that a file does not give.
const (
	// DefaultBodyBytes limits a request body, in bytes.
	DefaultBodyBytes = 8 << 20
	// DefaultHeaderBytes limits a request header, in bytes.
	DefaultHeaderBytes = 16 << 10
	// DefaultConnections limits the open connections of callers.
	DefaultConnections = 20_000
	// DefaultStoredResponseBytes limits the responses stored for retried
	// requests, in bytes.
	DefaultStoredResponseBytes = 24 << 20
	// DefaultShutdownGracePeriod limits the time of a graceful shutdown.
	DefaultShutdownGracePeriod = 60 * time.Second
)

// Listen holds the addresses on which an instance listens, each "ip:port".
type Listen struct {
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level,omitempty"`
}

// Limits restricts the resources that callers can use; zero values mean the
// defaults.
type Limits struct {
	// BodyBytes limits a request body, in bytes; default 8 MiB.
	BodyBytes int `json:"body_bytes,omitempty"`
	// HeaderBytes limits a request header, in bytes; default 16 KiB.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// Connections limits the open connections; default 20,000.
	Connections int `json:"connections,omitempty"`
	// StoredResponseBytes limits the responses stored for retried requests,
	// in bytes; default 24 MiB.
	StoredResponseBytes int `json:"answer_bytes,omitempty"`
	// ShutdownGracePeriod limits the time of a graceful shutdown; default
	// 60 s.
	ShutdownGracePeriod tables.Duration `json:"grace,omitempty"`
}

// Settings is the content of a settings file.
type Settings struct {
	// Name is unique among the running instances.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Listen        Listen `json:"listen"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Peers lists peer addresses of other instances to contact at startup.
	Peers []string `json:"peers,omitempty"`
	// AdminTokenFile and PeerSecretFile are paths of files that contain one
	// secret each.
	AdminTokenFile string `json:"admin_token_file"`
	PeerSecretFile string `json:"peer_secret_file"`
	Log            Log    `json:"log,omitzero"`
	Limits         Limits `json:"limits,omitzero"`
}

// Secrets holds the contents of the secret files.
type Secrets struct {
	AdminToken []byte
	PeerSecret []byte
}

// Parse decodes and validates a settings file. The error is
// strictjson.FieldErrors.
func Parse(name string, text []byte) (*Settings, error) {
	var s Settings
	doc := strictjson.Decode(name, text, &s)
	s.validate(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	s.applyDefaults()
	return &s, nil
}

// Load reads, decodes and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(path, text)
}

// LoadSecrets reads the secret files.
func (s *Settings) LoadSecrets() (Secrets, error) {
	token, err := readSecret(s.AdminTokenFile)
	if err != nil {
		return Secrets{}, err
	}
	secret, err := readSecret(s.PeerSecretFile)
	if err != nil {
		return Secrets{}, err
	}
	return Secrets{AdminToken: token, PeerSecret: secret}, nil
}

// readSecret reads a file with one secret and removes surrounding white
// space.
func readSecret(path string) ([]byte, error) {
	const minSecretBytes = 16
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read secret file")
	}
	secret := strings.TrimSpace(string(text))
	if len(secret) < minSecretBytes {
		return nil, errors.Newf("secret file %s: the secret has %d bytes, expected at least %d", path, len(secret), minSecretBytes)
	}
	return []byte(secret), nil
}

func (s *Settings) validate(doc *strictjson.Document) {
	checkRequired(doc, "name", s.Name)
	checkRequired(doc, "failure_domain", s.FailureDomain)
	checkRequired(doc, "admin_token_file", s.AdminTokenFile)
	checkRequired(doc, "peer_secret_file", s.PeerSecretFile)
	checkAddress(doc, "listen.callers", s.Listen.Callers)
	checkAddress(doc, "listen.admin", s.Listen.Admin)
	checkAddress(doc, "listen.peers", s.Listen.Peers)
	s.Listen.checkAddressesDiffer(doc)
	for _, peer := range s.Peers {
		checkAddress(doc, "peers", peer)
	}
	if parsed, err := url.Parse(s.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		doc.AddError("platform", "%q is not an http URL", s.Platform)
	}
	switch s.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		doc.AddError("log.level", "must be debug, info, warn or error")
	}
	s.validateLimits(doc)
}

func (s *Settings) validateLimits(doc *strictjson.Document) {
	checkNotNegative(doc, "limits.body_bytes", s.Limits.BodyBytes)
	checkNotNegative(doc, "limits.header_bytes", s.Limits.HeaderBytes)
	checkNotNegative(doc, "limits.connections", s.Limits.Connections)
	checkNotNegative(doc, "limits.answer_bytes", s.Limits.StoredResponseBytes)
	checkNotNegative(doc, "limits.grace", int(s.Limits.ShutdownGracePeriod))
}

// applyDefaults sets the fields that have zero values to their defaults.
func (s *Settings) applyDefaults() {
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Limits.BodyBytes = cmp.Or(s.Limits.BodyBytes, DefaultBodyBytes)
	s.Limits.HeaderBytes = cmp.Or(s.Limits.HeaderBytes, DefaultHeaderBytes)
	s.Limits.Connections = cmp.Or(s.Limits.Connections, DefaultConnections)
	s.Limits.StoredResponseBytes = cmp.Or(s.Limits.StoredResponseBytes, DefaultStoredResponseBytes)
	s.Limits.ShutdownGracePeriod = cmp.Or(s.Limits.ShutdownGracePeriod, tables.Duration(DefaultShutdownGracePeriod))
}

func checkRequired(doc *strictjson.Document, field, value string) {
	if value == "" {
		doc.AddError(field, "is missing")
	}
}

func checkNotNegative(doc *strictjson.Document, field string, value int) {
	if value < 0 {
		doc.AddError(field, "must not be negative")
	}
}

func checkAddress(doc *strictjson.Document, field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		doc.AddError(field, "%q is not an IP number and port", value)
	}
}

// checkAddressesDiffer reports addresses of two servers: a start would wait for them in vain.
func (l *Listen) checkAddressesDiffer(doc *strictjson.Document) {
	fieldOf := make(map[netip.AddrPort]string)
	for _, server := range []struct{ field, address string }{
		{"listen.callers", l.Callers}, {"listen.admin", l.Admin}, {"listen.peers", l.Peers},
	} {
		address, err := netip.ParseAddrPort(server.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, taken := fieldOf[address]; taken {
			doc.AddError(server.field, "is the same address as %s", other)
		}
		fieldOf[address] = server.field
	}
}

// DefaultLimits returns the limits that apply without a limits section in the
// file.
func DefaultLimits() Limits {
	var s Settings
	s.applyDefaults()
	return s.Limits
}
