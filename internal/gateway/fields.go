package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopFields concern one connection only, or are the framing, which the gateway
// sets itself.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func canonical(name string) string { return textproto.CanonicalMIMEHeaderKey(name) }

func hopByHop(name string) bool { return hopFields[canonical(name)] }

// connectionFields returns the fields that a Connection field names.
func connectionFields(value string) map[string]bool {
	if value == "" {
		return nil
	}
	named := make(map[string]bool)
	for _, name := range strings.Split(value, ",") {
		named[canonical(strings.TrimSpace(name))] = true
	}
	return named
}

// endToEnd removes from a target's answer what concerns its connection only.
func endToEnd(header http.Header) http.Header {
	for _, value := range header.Values("Connection") {
		for name := range connectionFields(value) {
			header.Del(name)
		}
	}
	for name := range hopFields {
		header.Del(name)
	}
	return header
}
