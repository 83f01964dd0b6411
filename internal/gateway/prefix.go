package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/schedule"
)

// maxPrefixParts bounds the parts of a prompt that placement considers, so that the
// message to the coordinator stays short.
const maxPrefixParts = 8

// promptPrefix returns the leading parts of the prompt as placement sees them: a target
// can skip a part only if it has cached the same ones before it for the same model.
func (m *RequestMetadata) promptPrefix() []schedule.PrefixPart {
	if len(m.PromptParts) == 0 || m.PromptParts[0].ID == "" {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(m.Model)
	parts := make([]schedule.PrefixPart, 0, min(len(m.PromptParts), maxPrefixParts))
	for _, part := range m.PromptParts[:min(len(m.PromptParts), maxPrefixParts)] {
		if part.ID == "" || part.Tokens == 0 {
			break
		}
		_, _ = digest.WriteString("/" + part.ID)
		parts = append(parts, schedule.PrefixPart{Hash: digest.Sum64(), Tokens: part.Tokens})
	}
	return parts
}
