package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields apply to a single connection, or are framing, which the
// gateway sets itself.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func canonicalName(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }

func isHopByHop(name string) bool { return hopByHopFields[canonicalName(name)] }

// connectionOptions returns the field names that a Connection field lists.
func connectionOptions(value string) map[string]bool {
	if value == "" {
		return nil
	}
	options := make(map[string]bool)
	for _, name := range strings.Split(value, ",") {
		options[canonicalName(strings.TrimSpace(name))] = true
	}
	return options
}

// removeHopByHop removes the hop-by-hop fields from a response header.
func removeHopByHop(header http.Header) http.Header {
	for _, value := range header.Values("Connection") {
		for name := range connectionOptions(value) {
			header.Del(name)
		}
	}
	for name := range hopByHopFields {
		header.Del(name)
	}
	return header
}
