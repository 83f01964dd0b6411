package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{
  "name": "a", "failure_domain": "d1",
  "listen": {"callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": "http://127.0.0.1:1", // no path
  "admin_token_file": "t", "peer_secret_file": "s",
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("settings.json", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.BodyBytes, DefaultBodyBytes)
	assert.Equal(t, s.Log.Level, "info")
}

func TestParseReportsErrors(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown field":           {`"name": "a"`, `"name": "a", "nmae": 1`, `settings.json:2: nmae: unknown field`},
		"host name as address":    {`"admin": "127.0.0.1:0"`, `"admin": "host:1"`, `settings.json:3: listen.admin: "host:1" is not an IP number and port`},
		"same address":            {`"admin": "127.0.0.1:0", "peers": "127.0.0.1:0"`, `"admin": "127.0.0.1:7", "peers": "127.0.0.1:7"`, `listen.peers: is the same address as listen.admin`},
		"missing name":            {`"name": "a",`, ``, `name: is missing`},
		"platform without scheme": {`http://127.0.0.1:1`, `127.0.0.1:1`, `settings.json:4: platform: `},
		"unknown log level":       {`"peer_secret_file": "s",`, `"peer_secret_file": "s", "log": {"level": "loud"},`, `log.level: must be`},
		"negative limit":          {`"peer_secret_file": "s",`, `"peer_secret_file": "s", "limits": {"body_bytes": -1},`, `limits.body_bytes: must not be negative`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("settings.json", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": [], "limits": {"grace": "1s"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("settings.json", text)
		assert.Equal(t, s == nil, err != nil)
	})
}
