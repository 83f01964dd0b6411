package simulate

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of a plot, in pixels.
const (
	plotWidth, plotHeight = 720, 320
	plotMargin            = 40
)

// curve is one line of a plot; its values are between 0 and 1.
type curve struct {
	name, color string
	values      []float64
}

// writePlot draws the curves as an SVG image; the vertical axis is 0 to 1.
func writePlot(out io.Writer, title string, curves []curve) {
	canvas := svg.New(out)
	canvas.Start(plotWidth, plotHeight)
	canvas.Rect(0, 0, plotWidth, plotHeight, "fill:white")
	canvas.Text(plotMargin, plotMargin/2, title, "font-size:14px")
	const ticks = 5
	for i := range ticks + 1 {
		y := plotHeight - plotMargin - i*(plotHeight-2*plotMargin)/ticks
		canvas.Line(plotMargin, y, plotWidth-plotMargin, y, "stroke:lightgray")
		canvas.Text(plotMargin/4, y, fmt.Sprintf("%.1f", float64(i)/ticks), "font-size:10px")
	}
	for i, c := range curves {
		xs, ys := make([]int, len(c.values)), make([]int, len(c.values))
		for j, value := range c.values {
			xs[j] = plotMargin + j*(plotWidth-2*plotMargin)/max(1, len(c.values)-1)
			ys[j] = plotHeight - plotMargin - int(value*(plotHeight-2*plotMargin))
		}
		canvas.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+c.color)
		canvas.Text(plotWidth-4*plotMargin, plotMargin/2+i*plotMargin/2, c.name, "font-size:12px;fill:"+c.color)
	}
	canvas.End()
}
