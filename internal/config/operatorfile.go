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
	// settingDepth is the nesting depth of the elements of settings; the root has depth 1.
	settingDepth = 2

	// minDuration and maxDuration bound the settings that are durations.
	minDuration = 100 * time.Millisecond
	maxDuration = time.Hour
	// maxMachines bounds the number of machines of a type.
	maxMachines = 1_000_000
)

// LoadOperator reads the operators' settings file at path. For an empty path it returns the
// defaults.
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

// elements maps the name of each allowed element to its parser, which sets a field of op.
func (op *Operator) elements() map[string]elementParser {
	return map[string]elementParser{
		"relayEvery":      durationParser(&op.ReplicationInterval),
		"copyWait":        durationParser(&op.CopyWait),
		"defaultEstimate": durationParser(&op.DefaultEstimate),
		"nodeLease":       durationParser(&op.NodeLease),
		"idleReturn":      durationParser(&op.IdleTimeout),
		"operatorKeys":    pathParser(&op.OperatorKeys),
		"machines":        machinesParser(op),
		"configuration":   choiceParser(&op.DisableDynamicConfig, "off", "on"),
		"machineShares":   choiceParser(&op.DisableShards, "off", "on"),
		"machineRecords":  choiceParser(&op.SingleRecords, "single", "blocks"),
	}
}

// ParseOperator parses operators' settings in XML. An element that is absent keeps its default.
// Unknown elements, attributes, bad values and an empty file are errors, which name the
// element or value.
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
	name     string // name of the last element that was opened
	text     string // text since the last tag
}

// parse parses the whole file and sets the fields that the parsers of its elements set. It
// stops at the first error.
func (p *operatorParser) parse() error {
	for {
		token, err := p.decoder.Token()
		if errors.Is(err, io.EOF) {
			return p.checkComplete()
		}
		if err == nil {
			err = p.handleToken(token)
		}
		if err != nil {
			return fmt.Errorf("operator settings: %w", err)
		}
	}
}

// checkComplete returns errEmpty if, at the end of the file, the file was empty or an element is
// not closed.
func (p *operatorParser) checkComplete() error {
	if p.depth != 0 || p.name == "" && p.text == "" && p.decoder.InputOffset() == 0 {
		return errEmpty
	}
	return nil
}

// handleToken updates the depth, name and text by one token. At the start of an element it checks
// the element; at the end of a setting's element it parses the text into the setting. Other
// tokens, such as comments, have no effect.
func (p *operatorParser) handleToken(token xml.Token) error {
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

// checkElement returns an error unless an element that was just opened is the root with the name
// rootElement, or a known setting directly below it, and has no attributes.
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

// pathParser returns a parser that sets target to the path of a file, which must not be empty.
func pathParser(target *string) elementParser {
	return func(text string) error {
		*target = text
		if text == "" {
			return errNoFile
		}
		return nil
	}
}

// choiceParser returns a parser that sets target to true for the text whenTrue and to false for
// whenFalse. Any other text is an error.
func choiceParser(target *bool, whenTrue, whenFalse string) elementParser {
	return func(text string) error {
		*target = text == whenTrue
		if !*target && text != whenFalse {
			return &ValueError{text, "is none of its values"}
		}
		return nil
	}
}

// durationParser returns a parser that sets target to a duration as SetDuration does.
func durationParser(target *time.Duration) elementParser {
	return func(text string) error { return SetDuration(target, text) }
}

// SetDuration parses the text of a setting that is a duration, such as "1.5s", and sets target
// to it. For a text that is no duration from minDuration to maxDuration it returns a
// ValueError and leaves target as it is.
func SetDuration(target *time.Duration, text string) error {
	duration, err := time.ParseDuration(text)
	if err != nil || duration < minDuration || duration > maxDuration {
		return &ValueError{text, "is no duration from 100ms to 1h"}
	}
	*target = duration
	return nil
}

// machinesParser returns a parser that sets op.Machines to the largest number of machines of each
// type, given in the form "TYPE NUMBER, ..." with numbers from 0 to maxMachines.
func machinesParser(op *Operator) elementParser {
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
