package capacity

import "math"

// Fit is a line fitted to measured points.
type Fit struct {
	Intercept, Slope float64
	Residual         float64 // largest distance of a point from the line
}

// FitLine returns the least-squares line. It needs at least two different sizes.
func FitLine(sizes, values []float64) Fit {
	var sx, sy, sxx, sxy float64
	n := float64(len(sizes))
	for i, x := range sizes {
		sx, sy = sx+x, sy+values[i]
		sxx, sxy = sxx+x*x, sxy+x*values[i]
	}
	var f Fit
	f.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Intercept = (sy - f.Slope*sx) / n
	for i, x := range sizes {
		f.Residual = max(f.Residual, math.Abs(values[i]-f.At(x)))
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
