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

const (
	rootElement = "damsonkeel"
	// settingDepth is the depth of the elements of settings, below the root.
	settingDepth = 2

	minDuration = 100 * time.Millisecond
	maxDuration = time.Hour
	// maxMachines bounds the number of machines of a type.
	maxMachines = 1_000_000
)

// LoadOperator reads the file at path; an empty path gives the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	f, err := os.Open(path)
	if err != nil {
		return Operator{}, fmt.Errorf("operator settings: %w", err)
	}
	defer func() { _ = f.Close() }() // nothing was written
	return ParseOperator(f)
}

// elementParser parses the text of an element into its setting.
type elementParser func(text string) error

// elements has the parsers of all elements.
func (op *Operator) elements() map[string]elementParser {
	return map[string]elementParser{
		"relayEvery":      durationInto(&op.ReplicationInterval),
		"copyWait":        durationInto(&op.CopyWait),
		"defaultEstimate": durationInto(&op.DefaultEstimate),
		"nodeLease":       durationInto(&op.NodeLease),
		"idleReturn":      durationInto(&op.IdleTimeout),
		"operatorKeys":    pathInto(&op.OperatorKeys),
		"machines":        machinesInto(op),
		"configuration":   choiceInto(&op.DisableDynamicConfig, "off", "on"),
		"machineShares":   choiceInto(&op.DisableShards, "off", "on"),
		"machineRecords":  choiceInto(&op.SingleRecords, "single", "blocks"),
	}
}

// ParseOperator parses operators' settings. Its errors name unknown elements and bad
// values.
func ParseOperator(r io.Reader) (Operator, error) {
	op := DefaultOperator()
	parser := operatorParser{decoder: xml.NewDecoder(r), elements: op.elements()}
	err := parser.parse()
	return op, err
}

// operatorParser is the state of parsing operators' settings.
type operatorParser struct {
	decoder  *xml.Decoder
	elements map[string]elementParser
	depth    int
	name     string // of the last element that was opened
	text     string // since the last tag
}

func (p *operatorParser) parse() error {
	for {
		token, err := p.decoder.Token()
		if errors.Is(err, io.EOF) {
			return p.checkEnd()
		}
		if err == nil {
			err = p.token(token)
		}
		if err != nil {
			return fmt.Errorf("operator settings: %w", err)
		}
	}
}

// checkEnd checks, at the end of the file, that there was anything in it.
func (p *operatorParser) checkEnd() error {
	if p.depth != 0 || p.name == "" && p.text == "" && p.decoder.InputOffset() == 0 {
		return errEmpty
	}
	return nil
}

func (p *operatorParser) token(token xml.Token) error {
	switch t := token.(type) {
	case xml.StartElement:
		p.depth++
		p.name, p.text = t.Name.Local, ""
		return p.checkElement(t)
	case xml.CharData:
		p.text += string(t)
	case xml.EndElement:
		text := strings.TrimSpace(p.text)
		p.text = ""
		p.depth--
		if p.depth+1 != settingDepth {
			return nil
		}
		if err := p.elements[p.name](text); err != nil {
			return fmt.Errorf("<%s>: %w", p.name, err)
		}
	}
	return nil
}

// checkElement checks that an element is known and at its depth.
func (p *operatorParser) checkElement(t xml.StartElement) error {
	known := p.elements[p.name] != nil
	switch {
	case p.depth == 1 && p.name != rootElement:
		return fmt.Errorf("root element <%s>, %w", p.name, errRootElement)
	case p.depth > settingDepth || p.depth == settingDepth && !known:
		return fmt.Errorf("%w <%s>", errUnknownElement, p.name)
	case len(t.Attr) > 0:
		return fmt.Errorf("<%s>: %w %q", p.name, errUnknownAttribute, t.Attr[0].Name.Local)
	}
	return nil
}

// pathInto parses the name of a file.
func pathInto(into *string) elementParser {
	return func(text string) error {
		*into = text
		if text == "" {
			return errNoFile
		}
		return nil
	}
}

// choiceInto parses a setting with two values, the first of which is true.
func choiceInto(into *bool, whenTrue, whenFalse string) elementParser {
	return func(text string) error {
		*into = text == whenTrue
		if !*into && text != whenFalse {
			return &ValueError{text, "is none of its values"}
		}
		return nil
	}
}

func durationInto(into *time.Duration) elementParser {
	return func(text string) error { return SetDuration(into, text) }
}

// SetDuration parses the text of a setting that is a duration.
func SetDuration(into *time.Duration, text string) error {
	duration, err := time.ParseDuration(text)
	if err != nil || duration < minDuration || duration > maxDuration {
		return &ValueError{text, "is no duration from 100ms to 1h"}
	}
	*into = duration
	return nil
}

// machinesInto parses the number of machines of each type, "TYPE NUMBER, ...".
func machinesInto(op *Operator) elementParser {
	return func(text string) error {
		op.Machines = map[protocol.MachineType]int{}
		for part := range strings.SplitSeq(text, ",") {
			fields := strings.Fields(part)
			if len(fields) != 2 {
				return &ValueError{part, "is no type and number"}
			}
			machineType, number := protocol.MachineType(fields[0]), fields[1]
			count, err := strconv.Atoi(number)
			if err != nil || count < 0 || count > maxMachines {
				return &ValueError{number, fmt.Sprintf("is no number from 0 to %d", maxMachines)}
			}
			op.Machines[machineType] = count
		}
		return nil
	}
}
