package evidence

import "testing"

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x80})
	f.Add([]byte{0x95, 0xa1, 0x70, 0x01, 0xc0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = DecodeReportPart("instance", body)
	})
}
