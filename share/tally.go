package share

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// tally counts by short names. Sums of hundreds of upstreams come 15 times a second; read by reflection they were the
// largest part of a host's own work.
type tally map[string]int

// UnmarshalJSON implements json.Unmarshaler. What encode writes, short names without spaces and whole numbers, is read
// here; anything else is left to the library.
func (tally *tally) UnmarshalJSON(data []byte) error {
	read, plain := readTally(string(data))
	if plain {
		*tally = read
		return nil
	}
	var counts map[string]int
	err := json.NewDecoder(bytes.NewReader(data)).Decode(&counts)
	*tally = counts
	return errors.WithStack(err)
}

// readTally reads an object of numbers by plain names, and reports whether the text is one.
func readTally(text string) (tally, bool) {
	text, opened := strings.CutPrefix(text, "{")
	text, closed := strings.CutSuffix(text, "}")
	if !opened || !closed || text == "" || strings.ContainsAny(text, "\\{}[] \t\r\n") {
		return nil, false
	}
	counts := make(tally, 1+strings.Count(text, ","))
	for text != "" {
		var item string
		item, text, _ = strings.Cut(text, ",")
		name, number, divided := strings.Cut(item, `":`)
		name, quoted := strings.CutPrefix(name, `"`)
		if !divided || !quoted {
			return nil, false
		}
		count, err := strconv.Atoi(number)
		if err != nil {
			return nil, false
		}
		counts[name] = count
	}
	return counts, true
}
