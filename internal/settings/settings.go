// Package settings reads the settings file of one instance.
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

// Defaults of the settings.
const (
	// DefaultBodyBytes bounds a caller's request body, in bytes.
	DefaultBodyBytes = 8 << 20
	// DefaultHeaderBytes bounds a caller's request header, in bytes.
	DefaultHeaderBytes = 16 << 10
	// DefaultConnections bounds the open connections of callers.
	DefaultConnections = 20_000
	// DefaultStoredResponseBytes bounds the answers kept for resends, in bytes.
	DefaultStoredResponseBytes = 24 << 20
	// DefaultShutdownGracePeriod bounds a graceful shutdown.
	DefaultShutdownGracePeriod = 60 * time.Second
)

// Listen holds the addresses that an instance serves, each "ip:port".
type Listen struct {
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level,omitempty"`
}

// Limits bounds what callers may use; zero values mean the defaults.
type Limits struct {
	// BodyBytes bounds a request body, in bytes; default 8 MiB.
	BodyBytes int `json:"body_bytes,omitempty"`
	// HeaderBytes bounds a request header, in bytes; default 16 KiB.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// Connections bounds the open connections; default 20,000.
	Connections int `json:"connections,omitempty"`
	// StoredResponseBytes bounds the answers kept for resends, in bytes; default 24 MiB.
	StoredResponseBytes int `json:"answer_bytes,omitempty"`
	// ShutdownGracePeriod bounds a graceful shutdown; default 60 s.
	ShutdownGracePeriod tables.Duration `json:"grace,omitempty"`
}

// Settings is the content of a settings file.
type Settings struct {
	// Name is unique among the live instances.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Listen        Listen `json:"listen"`
	// Platform is the URL of the platform's services.
	Platform string `json:"platform"`
	// Peers are peer addresses of other instances to begin with.
	Peers []string `json:"peers,omitempty"`
	// AdminTokenFile and PeerSecretFile are paths of files that hold one secret.
	AdminTokenFile string `json:"admin_token_file"`
	PeerSecretFile string `json:"peer_secret_file"`
	Log            Log    `json:"log,omitzero"`
	Limits         Limits `json:"limits,omitzero"`
}

// Secrets are the contents of the secret files.
type Secrets struct {
	AdminToken []byte
	PeerSecret []byte
}

// Parse reads and checks a settings text. The error is strictjson.Faults.
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

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
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

func readSecret(path string) ([]byte, error) {
	const minSecretBytes = 16
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "secret file")
	}
	secret := strings.TrimSpace(string(text))
	if len(secret) < minSecretBytes {
		return nil, errors.Newf("secret file %s: shorter than %d bytes", path, minSecretBytes)
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
	for _, peer := range s.Peers {
		checkAddress(doc, "peers", peer)
	}
	if parsed, err := url.Parse(s.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		doc.AddError("platform", "%q is no http URL", s.Platform)
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

// applyDefaults fills the defaults in.
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

// DefaultLimits returns the limits that apply when a file gives none.
func DefaultLimits() Limits {
	var s Settings
	s.applyDefaults()
	return s.Limits
}
