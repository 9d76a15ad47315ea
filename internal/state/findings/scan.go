package findings

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/gravitational/trace"
)

const (
	// maxDepth is the deepest nesting that encoding/json accepts. A scan of text that isn't valid must not recurse further.
	maxDepth = 10_000
	// maxFaultDepth limits the path of a fault in text that isn't JSON; the values of a document have at most four levels.
	maxFaultDepth = 16
)

// Scanner reads JSON text value by value. Each function may be nil. The paths are valid during the calls only.
type Scanner struct {
	// Visit gets the path of each field and array element and the offset in the text behind its name or, in an array, at
	// its beginning.
	Visit func(path []string, offset int64)
	// Number gets each number.
	Number func(path []string, n json.Number)
	// Repeated gets each field that its object has already. Of such fields, decoding to a generic value keeps only the
	// last, while encoding/json merges both into one map.
	Repeated func(path []string)
}

// Scan reads text. It fails if the text isn't valid JSON.
func (s Scanner) Scan(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return s.scanValue(data, d, nil)
}

func (s Scanner) scanValue(data []byte, d *json.Decoder, path []string) error {
	if len(path) > maxDepth {
		return trace.LimitExceeded("values are nested too deeply")
	}
	token, err := d.Token()
	if err != nil {
		return err
	}
	if n, ok := token.(json.Number); ok && s.Number != nil {
		s.Number(path, n)
	}
	opening, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for i := 0; d.More(); i++ {
		name := strconv.Itoa(i)
		if opening == '{' {
			token, err := d.Token()
			if err != nil {
				return err
			}
			name, _ = token.(string)
			if seen[name] && s.Repeated != nil {
				s.Repeated(append(path, name))
			}
			seen[name] = true
		}
		if s.Visit != nil {
			offset := int(d.InputOffset())
			if opening == '[' {
				// The decoder stands before the comma.
				offset = len(data) - len(bytes.TrimLeft(data[offset:], ", \t\r\n"))
			}
			s.Visit(append(path, name), int64(offset))
		}
		if err := s.scanValue(data, d, append(path, name)); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

// findLines sets the lines of those paths that are in the data. If a field occurs twice, the line is that of the last one.
func findLines(data []byte, lines map[string]int) {
	line, counted := 1, 0
	// The data has been parsed before; if the scan failed nevertheless, lines would be missing from the report only.
	_ = Scanner{Visit: func(path []string, offset int64) {
		line += bytes.Count(data[counted:offset], []byte("\n"))
		counted = int(offset)
		pointer := Pointer(path...)
		if _, wanted := lines[pointer]; wanted {
			lines[pointer] = line
		}
	}}.Scan(data)
}

// OfSyntax returns the finding for data that isn't JSON, with the line of the fault and the path of the last field or
// element before it.
func OfSyntax(data []byte, err error) Finding {
	f := Finding{Severity: SeverityError, Line: 1 + bytes.Count(data, []byte("\n")), Message: trace.UserMessage(err)}
	var raw json.RawMessage
	var invalid *json.SyntaxError
	if errors.As(json.Unmarshal(data, &raw), &invalid) {
		f.Line = 1 + bytes.Count(data[:min(max(invalid.Offset-1, 0), int64(len(data)))], []byte("\n"))
	}
	var last []string
	// The scan fails at the same fault, which err describes.
	_ = Scanner{Visit: func(path []string, _ int64) { last = append(last[:0], path[:min(len(path), maxFaultDepth)]...) }}.Scan(data)
	f.Path = Pointer(last...)
	return f
}
