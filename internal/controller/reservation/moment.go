package reservation

import (
	"math"
	"time"

	"damsonkeel/internal/record"
)

// Moment is a wall-clock time, in milliseconds since the Unix epoch.
type Moment = record.Moment

const millisPerSecond = 1000

// After returns the moment that is a duration after another.
func After(m Moment, d time.Duration) Moment { return m + Moment(d/time.Millisecond) }

// afterSeconds returns the moment that is a number of seconds after another, rounded to
// milliseconds.
func afterSeconds(m Moment, seconds float64) Moment {
	return m + Moment(math.Round(seconds*millisPerSecond))
}

// Between returns the duration from one moment to another.
func Between(from, to Moment) time.Duration { return time.Duration(to-from) * time.Millisecond }
