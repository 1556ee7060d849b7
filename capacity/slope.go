package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// SlopeName identifies a slope.
type SlopeName string

// Point is the measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost measured against a size, and the curve fitted to it: Base +
// Rate * f(size), where Shape determines f.
type Slope struct {
	Name SlopeName `json:"name"`
	// Unit is the unit of the values. SizeUnit names the things that the size
	// counts.
	Unit     string `json:"unit"`
	SizeUnit string `json:"against"`
	// MachineDependent is set if the values are times, which apply only to the
	// machine on which they were measured.
	MachineDependent bool    `json:"machine,omitempty"`
	Points           []Point `json:"points"`
	Shape            Shape   `json:"shape"`
	Base             float64 `json:"base"`
	Rate             float64 `json:"rate"`
	// MaxRelativeError is the maximum distance of a point from the curve, as a
	// fraction of the value of the point.
	MaxRelativeError float64 `json:"error"`
}

// CostAt returns the fitted cost at the given size.
func (s Slope) CostAt(size float64) float64 { return s.Base + s.Growth(size) }

// Growth returns the part of the fitted cost that depends on the size.
func (s Slope) Growth(size float64) float64 { return s.Rate * s.Shape.factor(size) }

// Slopes holds the results of one call of Measure.
type Slopes struct {
	MeasuredAt time.Time `json:"measured_at"`
	Go         string    `json:"go"`
	Cores      int       `json:"cores"`
	// LoadBefore and LoadAfter are the one-minute load averages of the machine
	// before and after the measurement. They are empty if the system does not
	// provide them.
	LoadBefore string  `json:"load_before"`
	LoadAfter  string  `json:"load_after"`
	Slopes     []Slope `json:"slopes"`
}

// MissingError is returned if a slope that a report needs is missing from the
// file.
type MissingError struct{ Name SlopeName }

// Error returns a message with the name of the missing slope.
func (e *MissingError) Error() string {
	return fmt.Sprintf("capacity: no slope %q; run figstile capacity measure", e.Name)
}

// Get returns the slope with the given name, or a *MissingError.
func (s *Slopes) Get(name SlopeName) (Slope, error) {
	for _, slope := range s.Slopes {
		if slope.Name == name {
			return slope, nil
		}
	}
	return Slope{}, &MissingError{Name: name}
}

//go:embed slopes.json
var embeddedSlopes []byte

// Load returns the slopes embedded in the program at build time.
func Load() (*Slopes, error) { return Parse(embeddedSlopes) }

// Parse decodes slopes from JSON.
func Parse(data []byte) (*Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("capacity: slopes: %w", err)
	}
	return &s, nil
}

// Shape is the function by which a cost grows with a size.
type Shape string

// These are the shapes that a fit can have, from the simplest to the most
// complex.
const (
	Flat      Shape = "flat"
	Log       Shape = "log n"
	Linear    Shape = "linear"
	LogLinear Shape = "n log n"
	Quadratic Shape = "quadratic"
)

// factor returns the value at size n of the function of the shape. The cost is
// this value multiplied by the rate, plus the base.
func (s Shape) factor(n float64) float64 {
	switch s {
	case Log:
		return math.Log2(n + 1)
	case Linear:
		return n
	case LogLinear:
		return n * math.Log2(n+1)
	case Quadratic:
		return n * n
	default:
		return 0
	}
}

const (
	// flatTimeError and flatCountError are the maximum relative errors with
	// which a time and a count are treated as independent of the size. Times
	// vary by a quarter on a shared machine.
	flatTimeError  = 0.25
	flatCountError = 0.02
	// maxTimeError and maxCountError are the maximum relative errors of an
	// acceptable fit of a time and of a count. The simplest acceptable shape is
	// used even if a more complex one has a smaller error.
	maxTimeError  = 0.15
	maxCountError = 0.025
)

// fit returns the slope with the simplest shape that is an acceptable fit. If
// no shape is, it returns the one with the smallest error.
func (s Slope) fit() Slope {
	flat := s.fitShape(Flat)
	if flat.MaxRelativeError <= flatCountError || s.MachineDependent && flat.MaxRelativeError <= flatTimeError {
		return flat
	}
	maxError := maxCountError
	if s.MachineDependent {
		maxError = maxTimeError
	}
	best := s.fitShape(Log)
	for _, shape := range []Shape{Linear, LogLinear, Quadratic} {
		if best.MaxRelativeError <= maxError {
			return best
		}
		if next := s.fitShape(shape); next.MaxRelativeError < best.MaxRelativeError {
			best = next
		}
	}
	return best
}

// fitShape fits one shape by least squares of the relative errors. Base and
// Rate must not be negative, because no cost is below zero.
func (s Slope) fitShape(shape Shape) Slope {
	s.Shape = shape
	s.Base, s.Rate = leastSquares(s.Points, shape)
	s.MaxRelativeError = 0
	for _, p := range s.Points {
		if p.Value > 0 {
			s.MaxRelativeError = math.Max(s.MaxRelativeError, math.Abs(s.CostAt(p.Size)-p.Value)/p.Value)
		}
	}
	return s
}

// leastSquares returns the base and the rate of a weighted linear regression of
// the values against the function of the shape. The weight of a point is one
// over the square of its value, which makes the errors relative. If the rate or
// the base would be negative, it is set to zero and the other one is fitted
// alone.
func leastSquares(points []Point, shape Shape) (base, rate float64) {
	var sw, sx, sy, sxx, sxy float64
	for _, p := range points {
		w := 1 / math.Max(p.Value*p.Value, math.SmallestNonzeroFloat32)
		x := shape.factor(p.Size)
		sw += w
		sx += w * x
		sy += w * p.Value
		sxx += w * x * x
		sxy += w * x * p.Value
	}
	determinant := sw*sxx - sx*sx
	if shape == Flat || determinant == 0 {
		return sy / sw, 0
	}
	rate = (sw*sxy - sx*sy) / determinant
	base = (sy - rate*sx) / sw
	switch {
	case rate < 0:
		return sy / sw, 0
	case base < 0:
		return 0, sxy / sxx
	}
	return base, rate
}
