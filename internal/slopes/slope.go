package main

import "math"

// Point is one measured size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured at several sizes, with the line fitted to it.
// Formulas name the line's slope by Name, and its value at zero by Name and "_0".
type Slope struct {
	Name string `json:"name"`
	// What was measured, in words.
	What string `json:"what"`
	// Unit of Y: "B" or "ns" of processor time.
	Unit string `json:"unit"`
	// Per is the unit of X.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Slope and Base are Y = Base + Slope*X by least squares.
	Slope float64 `json:"slope"`
	Base  float64 `json:"base"`
	// Residual is the root of the mean squared deviation from the line, as a share
	// of the largest Y.
	Residual float64 `json:"residual"`
}

// baseSuffix makes the name of a slope's value at zero.
const baseSuffix = "_0"

// fitLine fills in the line by ordinary least squares.
func (s *Slope) fitLine() {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY, top float64
	for _, p := range s.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		top = max(top, math.Abs(p.Y))
	}
	s.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Base = (sumY - s.Slope*sumX) / n
	var squares float64
	for _, p := range s.Points {
		d := p.Y - s.Base - s.Slope*p.X
		squares += d * d
	}
	if top > 0 {
		s.Residual = math.Sqrt(squares/n) / top
	}
}
