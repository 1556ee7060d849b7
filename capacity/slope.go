package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// SlopeName names a slope.
type SlopeName string

// Point is one measured size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost measured against a size, with the curve that fits it.
type Slope struct {
	Name SlopeName `json:"name"`
	// Unit of the value, and Against what the size counts.
	Unit     string `json:"unit"`
	SizeUnit string `json:"against"`
	// MachineDependent says that the value is a time, which holds for the machine it
	// was measured on only.
	MachineDependent bool    `json:"machine,omitempty"`
	Points           []Point `json:"points"`
	Shape            Shape   `json:"shape"`
	Base             float64 `json:"base"`
	Rate             float64 `json:"rate"`
	// MaxRelativeError is the worst relative distance of a point from the curve.
	MaxRelativeError float64 `json:"error"`
}

// CostAt returns the fitted cost at a size.
func (s Slope) CostAt(size float64) float64 { return s.Base + s.Growth(size) }

// Growth returns the part of the cost that comes with the size.
func (s Slope) Growth(size float64) float64 { return s.Rate * s.Shape.factor(size) }

// Slopes is the outcome of one Measure.
type Slopes struct {
	MeasuredAt time.Time `json:"measured_at"`
	Go         string    `json:"go"`
	Cores      int       `json:"cores"`
	// LoadBefore and LoadAfter are the machine's load averages over a minute.
	LoadBefore string  `json:"load_before"`
	LoadAfter  string  `json:"load_after"`
	Slopes     []Slope `json:"slopes"`
}

// MissingError is a slope that a report needs and the file lacks.
type MissingError struct{ Name SlopeName }

// Error names the slope.
func (e *MissingError) Error() string {
	return fmt.Sprintf("capacity: no slope %q; run figstile capacity measure", e.Name)
}

// Get returns a slope or a *MissingError.
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

// Load returns the slopes that the program was built with.
func Load() (*Slopes, error) { return Parse(embeddedSlopes) }

// Parse reads a file of slopes.
func Parse(data []byte) (*Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("capacity: slopes: %w", err)
	}
	return &s, nil
}

// Shape is how a cost grows with a size.
type Shape string

// The shapes a fit can have, the simplest first.
const (
	Flat      Shape = "flat"
	Log       Shape = "log n"
	Linear    Shape = "linear"
	LogLinear Shape = "n log n"
	Quadratic Shape = "quadratic"
)

// factor is the shape's function with rate 1.
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
	// flatTimeError and flatCount are the relative errors up to which a time and a
	// count are flat: on a shared machine times vary by a quarter.
	flatTimeError  = 0.25
	flatCountError = 0.02
	// maxTimeError and fitsCount are the worst relative errors of a shape that
	// fits. A simpler shape that fits wins over a better one.
	maxTimeError  = 0.15
	maxCountError = 0.025
)

// fit finds the simplest shape that describes the points, or the best one.
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

// fitShape fits one shape by least squares of the relative errors. Neither part may
// be negative: costs don't shrink below nothing.
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
