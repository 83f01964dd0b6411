package executor

import (
	"strings"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// hopByHopFields holds the names of the header fields that apply to one
// connection (RFC 9110, section 7.6.1) and of those that the sender generates.
var hopByHopFields = map[string]bool{
	"connection": true, "proxy-connection": true, "keep-alive": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "expect": true,
}

// EndToEndFields returns the header fields that may be forwarded: all but
// hop-by-hop fields and those listed in a Connection field.
func EndToEndFields(fields []dispatch.Field) []dispatch.Field {
	connectionOptions := make(map[string]bool)
	for _, field := range fields {
		if !strings.EqualFold(field.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(field.Value, ",") {
			connectionOptions[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	endToEnd := make([]dispatch.Field, 0, len(fields))
	for _, field := range fields {
		lower := strings.ToLower(field.Name)
		if !hopByHopFields[lower] && !connectionOptions[lower] {
			endToEnd = append(endToEnd, field)
		}
	}
	return endToEnd
}
