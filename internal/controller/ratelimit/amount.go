package ratelimit

// Amount is a part of the key-value store's rate limits: requests and writes a second.
type Amount struct{ Requests, Writes float64 }

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Requests + b.Requests, a.Writes + b.Writes} }

// Times returns a multiple of an amount.
func (a Amount) Times(factor float64) Amount { return Amount{a.Requests * factor, a.Writes * factor} }

// combine returns an amount whose requests are the result of f for the requests of two amounts,
// and whose writes are the result of f for their writes.
func combine(a, b Amount, f func(a, b float64) float64) Amount {
	return Amount{f(a.Requests, b.Requests), f(a.Writes, b.Writes)}
}

// add and subtract are arguments of combine.
func add(a, b float64) float64      { return a + b }
func subtract(a, b float64) float64 { return a - b }
