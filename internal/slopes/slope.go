package main

import "math"

// Point is a measured value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes, with the line fitted to it.
// In formulas, Name is the slope of the line, and Name followed by "_0" its value at size zero.
type Slope struct {
	Name string `json:"name"`
	// What describes the measured quantity.
	What string `json:"what"`
	// Unit is the unit of Y: "B" or "ns" of processor time.
	Unit string `json:"unit"`
	// Per is the unit of X.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Slope and Base define the fitted line Y = Base + Slope*X.
	Slope float64 `json:"slope"`
	Base  float64 `json:"base"`
	// Residual is the root mean square deviation from the line, as a fraction of the largest
	// absolute Y.
	Residual float64 `json:"residual"`
}

// baseSuffix is appended to a slope's name to refer to its value at size zero.
const baseSuffix = "_0"

// fitLine computes Slope, Base and Residual by ordinary least squares.
func (s *Slope) fitLine() {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY, maxY float64
	for _, p := range s.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		maxY = max(maxY, math.Abs(p.Y))
	}
	s.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Base = (sumY - s.Slope*sumX) / n
	var squares float64
	for _, p := range s.Points {
		d := p.Y - s.Base - s.Slope*p.X
		squares += d * d
	}
	if maxY > 0 {
		s.Residual = math.Sqrt(squares/n) / maxY
	}
}
