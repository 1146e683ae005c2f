package reservation

import (
	"math"
	"time"

	"damsonkeel/internal/record"
)

// Moment is a time of day, in milliseconds of the Unix epoch.
type Moment = record.Moment

const millisPerSecond = 1000

// After is the moment that lies so long after another.
func After(m Moment, d time.Duration) Moment { return m + Moment(d/time.Millisecond) }

// afterSeconds is the moment that lies so many seconds after another.
func afterSeconds(m Moment, seconds float64) Moment {
	return m + Moment(math.Round(seconds*millisPerSecond))
}

// Between is the time from one moment to another.
func Between(from, to Moment) time.Duration { return time.Duration(to-from) * time.Millisecond }
