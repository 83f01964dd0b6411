//go:build deps

// Package deps holds the module's requirements while packages are written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/gofiber/fiber/v2"
	_ "github.com/google/uuid"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/tailscale/hujson"
	_ "github.com/valyala/fasthttp"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
