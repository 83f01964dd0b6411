package tables

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuspost/hibiscuspost/internal/strictjson"
)

// File is the text of one table, with the file name that errors report.
type File struct {
	Name string
	Text []byte
}

// Parse decodes and validates both tables. The error is
// strictjson.FieldErrors with all errors of both files.
func Parse(routesFile, poolsFile File) (*Tables, error) {
	var routes Routes
	var pools Pools
	routesDoc := strictjson.Decode(routesFile.Name, routesFile.Text, &routes)
	poolsDoc := strictjson.Decode(poolsFile.Name, poolsFile.Text, &pools)
	checkPools(poolsDoc, pools.Pools)
	checkRoutes(routesDoc, routes.Routes, pools.Pools)
	fieldErrors := append(routesDoc.FieldErrors(), poolsDoc.FieldErrors()...)
	if len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	t := &Tables{Routes: routes.Routes, Pools: pools.Pools}
	t.Hash = t.ContentHash()
	return t, nil
}

// ContentHash returns the hash of the routes and pools, without the version.
func (t *Tables) ContentHash() string {
	text, err := json.Marshal(Tables{Routes: t.Routes, Pools: t.Pools})
	if err != nil {
		return ""
	}
	digest := xxhash.New()
	_, _ = digest.Write(text)
	return hex.EncodeToString(digest.Sum(nil))
}

// Pool returns the pool with the name, or nil.
func (t *Tables) Pool(name string) *Pool {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &t.Pools[i]
}

func checkPools(doc *strictjson.Document, pools []Pool) {
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i := range pools {
		poolPath := elementPath("pools", i)
		pool := &pools[i]
		checkName(doc, poolPath+".name", pool.Name, names)
		if pool.Kind != KindEngine && pool.Kind != KindService {
			doc.AddError(poolPath+".kind", "must be %q or %q", KindEngine, KindService)
		}
		if !pool.Deadline.IsZero() && pool.Version == "" {
			doc.AddError(poolPath+".version", "a deadline needs a version")
		}
		checkTargets(doc, poolPath, pool.Targets, addresses)
	}
}

func checkTargets(doc *strictjson.Document, poolPath string, targets []Target, addresses map[string]bool) {
	names := make(map[string]bool)
	for i := range targets {
		targetPath := elementPath(poolPath+".targets", i)
		target := &targets[i]
		checkName(doc, targetPath+".name", target.Name, names)
		if !isIPAndPort(target.Address) {
			doc.AddError(targetPath+".address", "%q is not an IP number and port", target.Address)
		}
		if addresses[target.Address] {
			doc.AddError(targetPath+".address", "%q stands twice", target.Address)
		}
		addresses[target.Address] = true
		if target.Slots < 1 {
			doc.AddError(targetPath+".slots", "must be at least 1")
		}
		if target.KVTokens < 0 {
			doc.AddError(targetPath+".kv_tokens", "must not be negative")
		}
	}
}

func checkRoutes(doc *strictjson.Document, routes []Route, pools []Pool) {
	names := make(map[string]bool)
	for i := range routes {
		routePath := elementPath("routes", i)
		route := &routes[i]
		checkName(doc, routePath+".name", route.Name, names)
		if !slices.ContainsFunc(pools, func(p Pool) bool { return p.Name == route.Pool }) {
			doc.AddError(routePath+".pool", "no pool has the name %q", route.Pool)
		}
		if route.Tier < 0 || route.Tier >= TierCount {
			doc.AddError(routePath+".tier", "must be 0 to %d", TierCount-1)
		}
		if route.Match.Path != "" && !strings.HasPrefix(route.Match.Path, "/") {
			doc.AddError(routePath+".match.path", "must begin with /")
		}
		checkDurations(doc, routePath, route)
		for j := range i {
			if routes[j].Match.isAmbiguousWith(&route.Match) {
				doc.AddError(routePath+".match", "matches the same requests as route %q", routes[j].Name)
			}
		}
	}
}

func checkDurations(doc *strictjson.Document, routePath string, route *Route) {
	if route.Deadline < 0 {
		doc.AddError(routePath+".deadline", "must not be negative")
	}
	if route.FirstTokenObjective < 0 {
		doc.AddError(routePath+".first_token", "must not be negative")
	}
	if route.MaxWait < 0 {
		doc.AddError(routePath+".max_wait", "must not be negative")
	}
	if route.FirstTokenObjective > route.EffectiveDeadline() {
		doc.AddError(routePath+".first_token", "is later than the deadline")
	}
	if route.MaxWait > route.EffectiveDeadline() {
		doc.AddError(routePath+".max_wait", "is longer than the deadline")
	}
}

func checkName(doc *strictjson.Document, path, name string, names map[string]bool) {
	if name == "" {
		doc.AddError(path, "is missing")
		return
	}
	if strings.ContainsAny(name, "/\x00 ") {
		doc.AddError(path, "%q must hold no space or slash", name)
	}
	if names[name] {
		doc.AddError(path, "%q stands twice", name)
	}
	names[name] = true
}

func isIPAndPort(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
