package config

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"damsonkeel/internal/protocol"
)

// Operator is the operators' own settings, an optional XML file. Every
// element has a default.
type Operator struct {
	// RelayEvery is how often completions and waits are passed to peers.
	RelayEvery time.Duration
	// CopyWait is how long a restarted controller waits for a table copy.
	CopyWait time.Duration
	// DefaultEstimate stands in for the run time of jobs that give none.
	DefaultEstimate time.Duration
	// NodeLease is how long a controller may act without hearing from the
	// state service; 0 leaves it to Fit.
	NodeLease time.Duration
	// IdleReturn is how long a machine stays idle before it is returned.
	IdleReturn time.Duration
	// SingleRecords keeps the record of each machine apart, as versions before
	// blocks of records did.
	SingleRecords bool
	// NoShares has machines kept as versions before shares of them did.
	NoShares bool
	// FixedConfiguration keeps the configuration as the files have it: no change of it
	// is taken while controllers run.
	FixedConfiguration bool
	// OperatorKeys is the file of the keys that operators' requests are sealed
	// with; empty: no such request is taken.
	OperatorKeys string
	// Machines is how many machines of a type operators count on at the most,
	// for what is promised; of types that are not named, any number.
	Machines map[protocol.MachineType]int
}

// DefaultOperator returns the defaults.
func DefaultOperator() Operator {
	return Operator{
		RelayEvery:      time.Second,
		CopyWait:        2 * time.Second,
		DefaultEstimate: time.Minute,
		IdleReturn:      time.Minute,
	}
}

// usualNodeLease is the node lease where the platform's settings allow it: a
// little longer than a controller takes to come back after an end.
const usualNodeLease = 8 * time.Second

// ConfiguredWithin is how long after a change of the configuration a controller may
// act by the one before at the most.
const ConfiguredWithin = 11 * time.Second

// configuredMargin is what has to be left of that: clocks drift apart, and a step that
// has begun takes its time.
const configuredMargin = 500 * time.Millisecond

// Configurable reports whether the configuration may change while controllers run:
// operators can ask for it, and nothing keeps it as it is.
func (op Operator) Configurable() bool { return op.OperatorKeys != "" && !op.FixedConfiguration }

// followSlack is how much longer than its lease a controller may act after it has
// opened the last watch that was answered: a watch stays open for seconds.
const followSlack = 2 * time.Second

// FollowedWithin is the longest that a controller with a lease of its own answers
// workers without knowing what has changed in the records.
func FollowedWithin(nodeLease time.Duration) time.Duration { return nodeLease + followSlack }

const (
	// leaseDrift is by how much a worker's lease may be longer by another clock:
	// steady clocks drift apart by up to 0.05%.
	leaseDrift = 0.0005
	// cancelMargin is what has to be left of cancel_s.
	cancelMargin = time.Second
	// leastNodeLease is the shortest node lease that can be kept.
	leastNodeLease = time.Second
)

// CancelledWithin is how long the tasks of a cancelled job may stay after its user was
// told, whatever fails: for FollowedWithin a controller may answer their worker
// without knowing, and what it answered last keeps them for the worker's lease,
// counted from when the report was sent.
func CancelledWithin(nodeLease time.Duration, w Workers) time.Duration {
	return FollowedWithin(nodeLease) + Seconds(w.LeaseS*(1+leaseDrift))
}

// Fit fits the settings to the platform's, and refuses what can't be.
func (op Operator) Fit(s *Settings) (Operator, error) {
	w := s.Site.Workers
	most := Seconds(w.CancelS) - cancelMargin - CancelledWithin(0, w)
	if most < leastNodeLease {
		return op, fmt.Errorf("settings: cancel_s %v is too short: with a lease_s of %v and a node lease of %v a cancelled job's tasks may stay for %v, and %v has to be left",
			w.CancelS, w.LeaseS, leastNodeLease, CancelledWithin(leastNodeLease, w), cancelMargin)
	}
	if op.NodeLease == 0 {
		op.NodeLease = min(usualNodeLease, most)
	}
	if op.NodeLease > most {
		return op, fmt.Errorf("operator settings: <nodeLease>: %v is too long: a cancelled job's tasks may stay for %v then, and %v has to be left of cancel_s, %v",
			op.NodeLease, CancelledWithin(op.NodeLease, w), cancelMargin, Seconds(w.CancelS))
	}
	if most := ConfiguredWithin - configuredMargin - FollowedWithin(0); op.Configurable() && op.NodeLease > most {
		return op, fmt.Errorf("operator settings: <nodeLease>: %v is too long: a controller may act for %v without following a change of the configuration then, which has to be in force everywhere within %v; at most %v, or <configuration>off</configuration>",
			op.NodeLease, FollowedWithin(op.NodeLease), ConfiguredWithin, most)
	}
	return op, nil
}

// LoadOperator reads the file at path; an empty path gives the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	f, err := os.Open(path)
	if err != nil {
		return Operator{}, fmt.Errorf("operator settings: %w", err)
	}
	defer f.Close()
	return ParseOperator(f)
}

// elements are the elements of the file, with what takes the text of each.
func (op *Operator) elements() map[string]func(string) error {
	return map[string]func(string) error{
		"relayEvery": duration(&op.RelayEvery), "copyWait": duration(&op.CopyWait), "defaultEstimate": duration(&op.DefaultEstimate),
		"nodeLease": duration(&op.NodeLease), "idleReturn": duration(&op.IdleReturn),
		"operatorKeys":   keysFile(&op.OperatorKeys),
		"machines":       machines(op),
		"configuration":  choice(&op.FixedConfiguration, "off", "on"),
		"machineShares":  choice(&op.NoShares, "off", "on"),
		"machineRecords": choice(&op.SingleRecords, "single", "blocks"),
	}
}

// ParseOperator reads operators' settings. Unknown elements and bad values
// are named in the error.
func ParseOperator(r io.Reader) (Operator, error) {
	op := DefaultOperator()
	take := op.elements()
	d := xml.NewDecoder(r)
	depth, name, text := 0, "", ""
	for {
		tok, err := d.Token()
		if errors.Is(err, io.EOF) {
			if depth != 0 || name == "" && text == "" && d.InputOffset() == 0 {
				return op, errors.New("operator settings: empty")
			}
			return op, nil
		}
		if err != nil {
			return op, fmt.Errorf("operator settings: %w", err)
		}
		switch t := tok.(type) {
		case xml.StartElement:
			depth++
			name, text = t.Name.Local, ""
			if err := checkElement(t, depth, take[name] != nil); err != nil {
				return op, fmt.Errorf("operator settings: %w", err)
			}
		case xml.CharData:
			text += string(t)
		case xml.EndElement:
			if depth == 2 {
				if err := take[name](strings.TrimSpace(text)); err != nil {
					return op, fmt.Errorf("operator settings: <%s>: %w", name, err)
				}
			}
			depth--
			text = ""
		}
	}
}

// checkElement checks that an element may stand at its depth; known: it is one of the
// settings.
func checkElement(t xml.StartElement, depth int, known bool) error {
	name := t.Name.Local
	switch {
	case depth == 1 && name != "damsonkeel":
		return fmt.Errorf("root element <%s>, want <damsonkeel>", name)
	case depth > 2 || depth == 2 && !known:
		return fmt.Errorf("unknown element <%s>", name)
	case len(t.Attr) > 0:
		return fmt.Errorf("<%s>: unknown attribute %q", name, t.Attr[0].Name.Local)
	}
	return nil
}

// keysFile takes the name of the file of operators' keys.
func keysFile(into *string) func(string) error {
	return func(text string) error {
		if *into = text; text == "" {
			return errors.New("no file is named")
		}
		return nil
	}
}

// choice takes an element that has two values, the first of which sets it.
func choice(into *bool, set, unset string) func(string) error {
	return func(text string) error {
		if *into = text == set; !*into && text != unset {
			return fmt.Errorf("%q is none of its values", text)
		}
		return nil
	}
}

// duration takes an element's text into a setting.
func duration(into *time.Duration) func(string) error {
	return func(text string) error { return SetDuration(into, text) }
}

// SetDuration takes the text of a setting that is a duration. The error says what it
// has to be.
func SetDuration(into *time.Duration, text string) error {
	v, err := time.ParseDuration(text)
	if err != nil || v < 100*time.Millisecond || v > time.Hour {
		return fmt.Errorf("%q is no duration from 100ms to 1h", text)
	}
	*into = v
	return nil
}

// machinesMost bounds how many machines of a type may be counted on.
const machinesMost = 1_000_000

// machines takes how many machines of each type there are, "TYPE NUMBER, ...".
func machines(op *Operator) func(string) error {
	return func(text string) error {
		op.Machines = map[protocol.MachineType]int{}
		for part := range strings.SplitSeq(text, ",") {
			f := strings.Fields(part)
			if len(f) != 2 {
				return fmt.Errorf("%q is no type and number", part)
			}
			n, err := strconv.Atoi(f[1])
			if err != nil || n < 0 || n > machinesMost {
				return fmt.Errorf("%q is no number from 0 to %d", f[1], machinesMost)
			}
			op.Machines[protocol.MachineType(f[0])] = n
		}
		return nil
	}
}
