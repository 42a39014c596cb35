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

// Kind says what a Message is.
type Kind int

// The kinds of messages.
const (
	BatchStart      Kind = iota // a batch of events begins at Now
	BatchEnd                    // a batch ends; the reply is due
	InstanceStarted             // an instance begins, with Settings and Seed
	InstanceKilled              // an instance has ended
	InstanceEvent               // an instance has an Event
)

// Message is one decoded line. Fields that its kind does not name are zero.
type Message struct {
	Kind     Kind
	Now      time.Duration // on the simulator's clock
	Instance string
	Settings logic.Settings
	Seed     uint64
	Event    logic.Event
}

// maxLists is how many numbered endpoint lists there are at a time.
const maxLists = 16

// readBuffer is how many bytes are read at a time.
const readBuffer = 1 << 20

// Decoder reads messages. It is not safe for concurrent use.
type Decoder struct {
	input        *bufio.Reader
	longLine     []byte // a line that does not fit into the reader's buffer
	line         int    // number of the line at hand, from 1
	inBatch      bool
	parser       fastjson.Parser
	lists        [maxLists][]logic.Endpoint
	reportFields map[string][]string // of each instance: the figures of a load report, in order
	interned     map[string]string   // ids that recur, to keep one copy of each
	firstFault   error               // in the line at hand
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{
		input:        bufio.NewReaderSize(r, readBuffer),
		reportFields: map[string][]string{},
		interned:     map[string]string{},
	}
}

// Line is the number of the line that the latest message ended on.
func (d *Decoder) Line() int { return d.line }

// Next returns the next message, or io.EOF at the end of the input. Other errors name the line and the fault.
func (d *Decoder) Next() (Message, error) {
	for {
		text, err := d.read()
		if err == io.EOF && d.inBatch {
			return Message{}, fmt.Errorf("line %d: the input ends without YourTurn", d.line)
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

// read returns the next line without its end, however long it is.
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

// decode decodes one line; skip says that it holds no message of its own.
func (d *Decoder) decode(text []byte) (m Message, skip bool, err error) {
	object, err := d.parser.ParseBytes(text)
	if err != nil {
		return m, false, fmt.Errorf("broken JSON: %w", err)
	}
	if object.Type() != fastjson.TypeObject {
		return m, false, errors.New("not an object")
	}
	d.firstFault = nil
	kind := string(d.bytes(object, "type"))
	switch {
	case kind == "Turn" && d.inBatch:
		return m, false, errors.New("a Turn inside a Turn: YourTurn is missing")
	case kind == "Turn":
		d.inBatch = true
		return Message{Kind: BatchStart, Now: d.duration(object, "WallNs")}, false, d.firstFault
	case kind == "YourTurn" && !d.inBatch:
		return m, false, errors.New("YourTurn without a Turn")
	case kind == "YourTurn":
		d.inBatch = false
		return Message{Kind: BatchEnd}, false, nil
	case !d.inBatch:
		return m, false, fmt.Errorf("%q outside a Turn", kind)
	case kind == "Census":
		d.endpointRows(object)
		return m, true, d.firstFault
	}
	return d.instanceMessage(kind, object)
}

// instanceMessage decodes a line that concerns one instance.
func (d *Decoder) instanceMessage(kind string, object *fastjson.Value) (m Message, skip bool, err error) {
	m.Instance = d.id(object, "I")
	if kind == "Launch" {
		m.Kind = InstanceStarted
		m.Seed = d.uint(object, "Seed")
		m.Settings = d.launch(m.Instance, object.Get("BootInfo"))
		return m, false, d.firstFault
	}
	fields, known := d.reportFields[m.Instance]
	if !known {
		return m, false, fmt.Errorf("instance %q was never launched", m.Instance)
	}
	switch kind {
	case "Message":
		return m, true, nil // balancers exchange no messages
	case "Killed":
		m.Kind = InstanceKilled
		delete(d.reportFields, m.Instance)
	default:
		m.Kind = InstanceEvent
		m.Event = d.event(kind, object, fields)
	}
	return m, false, d.firstFault
}

// launch decodes the settings of an instance that begins.
func (d *Decoder) launch(instance string, settings *fastjson.Value) logic.Settings {
	if settings == nil || settings.Type() != fastjson.TypeObject {
		d.fault("Launch without BootInfo")
		return logic.Settings{}
	}
	site, err := DecodeSettings(settings.MarshalTo(nil))
	if err != nil {
		d.fault("BootInfo: %v", err)
	}
	d.reportFields[instance] = site.LoadReportFields
	return site.Logic
}
