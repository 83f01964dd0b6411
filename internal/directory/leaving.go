package directory

import (
	"strings"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// leavingMark identifies the target that is leaving at an address. It is the
// body of a rumor of kind membership.RumorTargetLeaving.
type leavingMark struct {
	// present is false in the zero value, which stands for no mark.
	present bool
	// configuredName and listedName are the target's names in the configuration
	// and in the list at the time of marking; empty if it was not there.
	configuredName string
	listedName     string
}

// nameSeparator separates the two names in a rumor body.
const nameSeparator = "\x00"

func (m leavingMark) encode() []byte { return []byte(m.configuredName + nameSeparator + m.listedName) }

func decodeLeavingMark(body []byte) leavingMark {
	configured, listed, _ := strings.Cut(string(body), nameSeparator)
	return leavingMark{present: true, configuredName: configured, listedName: listed}
}

// matches reports whether the target with these names is the marked one. It is
// a different one only if a name that was known at the time of marking has
// changed. A name that is now missing, for example because the list no longer
// contains the target, is not evidence.
func (m leavingMark) matches(configuredName, listedName string) bool {
	if !m.present {
		return false
	}
	return !namesDiffer(m.configuredName, configuredName) && !namesDiffer(m.listedName, listedName)
}

func namesDiffer(before, now string) bool { return before != "" && now != "" && before != now }

// leavingMarks returns the marks of all known rumors by address.
func (d *Directory) leavingMarks() map[string]leavingMark {
	marks := make(map[string]leavingMark)
	for _, r := range d.rumors.RumorsOfKind(membership.RumorTargetLeaving) {
		marks[r.Subject] = decodeLeavingMark(r.Body)
	}
	return marks
}

// MarkLeaving stops the use of the target at an address on all instances, for
// example when it has responded that it is leaving. Work that it is already
// running is not affected.
func (d *Directory) MarkLeaving(address string) {
	d.mu.Lock()
	configuredName := d.configuredName(address)
	mark := leavingMark{present: true, configuredName: configuredName, listedName: d.listedTargets[address].Name}
	known := d.leavingMarks()[address]
	d.mu.Unlock()
	if known.present && known.matches(mark.configuredName, mark.listedName) {
		return
	}
	d.logger.Info("target leaves", zap.String("address", address),
		zap.String("target", configuredName), zap.String("listed", mark.listedName))
	d.rumors.Publish(membership.Rumor{
		Kind: membership.RumorTargetLeaving, Subject: address,
		Rank: uint64(d.clock.Now().UnixMilli()), Body: mark.encode(),
	})
	d.Refresh()
}

// configuredName returns the target name that the configuration has for an
// address; empty if it has none.
func (d *Directory) configuredName(address string) string {
	for _, pool := range d.config().Pools {
		for _, target := range pool.Targets {
			if target.Address == address {
				return target.Name
			}
		}
	}
	return ""
}
