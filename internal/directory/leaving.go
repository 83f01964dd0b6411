package directory

import (
	"strings"

	"go.uber.org/zap"

	"github.com/hibiscuspost/hibiscuspost/internal/membership"
)

// mark says which target at an address leaves. It is the body of the rumour.
type mark struct {
	// set tells a mark from none.
	set bool
	// table and listed are the target's names in the table and in the list at
	// the time of marking; empty if it was not there.
	table  string
	listed string
}

// separator stands between the two names in a rumour.
const separator = "\x00"

func (m mark) encode() []byte { return []byte(m.table + separator + m.listed) }

func decodeMark(body []byte) mark {
	table, listed, _ := strings.Cut(string(body), separator)
	return mark{set: true, table: table, listed: listed}
}

// covers tells whether the target with these names is the one marked. It is
// another one only if a name that was known then is now a different one; a
// name that has vanished, as when the list drops the target, says nothing.
func (m mark) covers(table, listed string) bool {
	if !m.set {
		return false
	}
	return !differ(m.table, table) && !differ(m.listed, listed)
}

func differ(before, now string) bool { return before != "" && now != "" && before != now }

// marks returns the known marks by address.
func (d *Directory) marks() map[string]mark {
	marks := make(map[string]mark)
	for _, r := range d.rumors.RumorsOfKind(membership.RumorTargetLeaving) {
		marks[r.Subject] = decodeMark(r.Body)
	}
	return marks
}

// MarkLeaving takes the target at an address out of use on all instances, as
// when it has answered that it leaves. Its running work is not touched.
func (d *Directory) MarkLeaving(address string) {
	d.mu.Lock()
	table := d.tableName(address)
	m := mark{set: true, table: table, listed: d.listed[address].Name}
	known := d.marks()[address]
	d.mu.Unlock()
	if known.set && known.covers(m.table, m.listed) {
		return
	}
	d.logger.Info("target leaves", zap.String("address", address),
		zap.String("target", table), zap.String("listed", m.listed))
	d.rumors.Publish(membership.Rumor{
		Kind: membership.RumorTargetLeaving, Subject: address,
		Rank: uint64(d.clock.Now().UnixMilli()), Body: m.encode(),
	})
	d.Refresh()
}

// tableName returns the name that the table gives to an address.
func (d *Directory) tableName(address string) string {
	for _, pool := range d.current().Pools {
		for _, target := range pool.Targets {
			if target.Address == address {
				return target.Name
			}
		}
	}
	return ""
}
