package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"ryeweir/logic"
)

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	BatchStart      Kind = iota // a batch of events starts, at time Now
	BatchEnd                    // a batch ends, and a reply is expected
	InstanceStarted             // an instance starts, with Settings and Seed
	InstanceKilled              // an instance was killed
	InstanceEvent               // an Event for an instance
)

// Message is a decoded line. Fields that do not apply to its kind are zero.
type Message struct {
	Kind     Kind
	Now      time.Duration // on the simulator's clock
	Instance string
	Settings logic.Settings
	Seed     uint64
	Event    logic.Event
}

// maxLists is the number of endpoint lists that the simulator can refer to at a time.
const maxLists = 16

// readBufferBytes is the size of the input buffer. Longer lines are copied to Decoder.longLine.
const readBufferBytes = 1 << 20

// Decoder reads messages. It is not safe for concurrent use.
type Decoder struct {
	input        *bufio.Reader
	longLine     []byte // holds a line that exceeds the input buffer
	line         int    // number of the current line, starting at 1
	inBatch      bool
	parser       fastjson.Parser
	lists        [maxLists][]logic.Endpoint
	reportFields map[string][]string // names of the values in a load report, in order, by instance
	interned     map[string]string   // one copy of each ID
	firstErr     error               // first error in the current line
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{
		input:        bufio.NewReaderSize(r, readBufferBytes),
		reportFields: map[string][]string{},
		interned:     map[string]string{},
	}
}

// Line returns the line number of the latest message.
func (d *Decoder) Line() int { return d.line }

// Next returns the next message, or io.EOF at the end of the input. Other errors contain the line number.
func (d *Decoder) Next() (Message, error) {
	for {
		text, err := d.read()
		if err == io.EOF && d.inBatch {
			return Message{}, fmt.Errorf("line %d: the input ends inside a Turn: YourTurn is missing", d.line)
		}
		if err != nil {
			return Message{}, err
		}
		if len(text) == 0 {
			continue
		}
		m, skip, err := d.decode(text)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if !skip {
			return m, nil
		}
	}
}

// read returns the next line of any length, without the line ending.
func (d *Decoder) read() ([]byte, error) {
	d.longLine = d.longLine[:0]
	for {
		part, err := d.input.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			d.longLine = append(d.longLine, part...)
			continue
		}
		if err != nil && (err != io.EOF || len(part)+len(d.longLine) == 0) {
			return nil, err
		}
		d.line++
		if len(d.longLine) > 0 {
			part = append(d.longLine, part...)
			d.longLine = part
		}
		return bytes.TrimSpace(part), nil
	}
}

// decode decodes a line. skip is true if the line yields no message.
func (d *Decoder) decode(text []byte) (m Message, skip bool, err error) {
	object, err := d.parser.ParseBytes(text)
	if err != nil {
		return m, false, fmt.Errorf("malformed JSON: %w", err)
	}
	if object.Type() != fastjson.TypeObject {
		return m, false, errors.New("not a JSON object")
	}
	d.firstErr = nil
	kind := string(d.bytes(object, "type"))
	switch {
	case kind == "Turn" && d.inBatch:
		return m, false, errors.New("a Turn inside a Turn: YourTurn is missing")
	case kind == "Turn":
		d.inBatch = true
		return Message{Kind: BatchStart, Now: d.duration(object, "WallNs")}, false, d.firstErr
	case kind == "YourTurn" && !d.inBatch:
		return m, false, errors.New("YourTurn without a Turn")
	case kind == "YourTurn":
		d.inBatch = false
		return Message{Kind: BatchEnd}, false, nil
	case !d.inBatch:
		return m, false, fmt.Errorf("%q outside a Turn", kind)
	case kind == "Census":
		d.storeList(object)
		return m, true, d.firstErr
	}
	return d.instanceMessage(kind, object)
}

// instanceMessage decodes a line about an instance.
func (d *Decoder) instanceMessage(kind string, object *fastjson.Value) (m Message, skip bool, err error) {
	m.Instance = d.id(object, "I")
	if kind == "Launch" {
		m.Kind = InstanceStarted
		m.Seed = d.uint(object, "Seed")
		m.Settings = d.launch(m.Instance, object.Get("BootInfo"))
		return m, false, d.firstErr
	}
	fields, known := d.reportFields[m.Instance]
	if !known {
		return m, false, fmt.Errorf("instance %q was not launched or was killed", m.Instance)
	}
	switch kind {
	case "Message":
		return m, true, nil // balancers do not exchange messages
	case "Killed":
		m.Kind = InstanceKilled
		delete(d.reportFields, m.Instance)
	default:
		m.Kind = InstanceEvent
		m.Event = d.event(kind, object, fields)
	}
	return m, false, d.firstErr
}

// launch decodes the settings of an instance that starts.
func (d *Decoder) launch(instance string, settings *fastjson.Value) logic.Settings {
	if settings == nil || settings.Type() != fastjson.TypeObject {
		d.fail("Launch without BootInfo")
		return logic.Settings{}
	}
	site, err := DecodeSettings(settings.MarshalTo(nil))
	if err != nil {
		d.fail("BootInfo: %v", err)
	}
	d.reportFields[instance] = site.LoadReportFields
	return site.Logic
}
