package ratelimit

// Amount is a part of the store's rates: requests and writes a second.
type Amount struct{ Requests, Writes float64 }

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Requests + b.Requests, a.Writes + b.Writes} }

// Times returns a multiple of an amount.
func (a Amount) Times(factor float64) Amount { return Amount{a.Requests * factor, a.Writes * factor} }

// combine applies a function to the requests and to the writes of two amounts.
func combine(a, b Amount, f func(a, b float64) float64) Amount {
	return Amount{f(a.Requests, b.Requests), f(a.Writes, b.Writes)}
}

// add and subtract are functions for combine.
func add(a, b float64) float64      { return a + b }
func subtract(a, b float64) float64 { return a - b }
