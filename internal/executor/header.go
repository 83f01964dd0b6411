package executor

import (
	"strings"

	"github.com/hibiscuspost/hibiscuspost/internal/dispatch"
)

// hopByHopFields are the header fields that belong to one connection (RFC 9110,
// section 7.6.1), and those that the sending side sets anew.
var hopByHopFields = map[string]bool{
	"connection": true, "proxy-connection": true, "keep-alive": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "expect": true,
}

// EndToEndFields returns the fields that may be passed on: no hop-by-hop fields, and
// none that a Connection field names.
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
