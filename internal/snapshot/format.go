package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"

	"ryeweir/logic"
)

// MaxSize is the maximum size of a file in bytes, enough for several thousand endpoints.
const MaxSize = 1 << 20

// A file consists of the magic number, the CRC-32C of the document (big-endian), and the document.
const (
	magic      = "RYWK\x01\n"
	headerSize = len(magic) + 4
)

// castagnoli is the CRC-32C table.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// document is the JSON document in a file. Its keys are those of the first release that wrote snapshots and must not change, so that every
// version can read the files of every other. The struct tags map them to the names that package logic uses.
type document struct {
	Agent     string          `json:"agent"`
	Classes   []string        `json:"classes"`
	SavedAt   time.Time       `json:"taken"`
	Knowledge storedKnowledge `json:"knowledge"`
}

// storedKnowledge is the stored form of logic.Knowledge.
type storedKnowledge struct {
	Endpoints       []storedEndpoint `json:"Servers"`
	BaselineLatency []time.Duration  `json:"Usual"` // nanoseconds, by class index
	MeanPriority    float64          `json:"Worth"`
}

// storedEndpoint is the stored form of logic.EndpointKnowledge.
type storedEndpoint struct {
	ID                  string        `json:"ID"`
	Age                 time.Duration `json:"Life"` // nanoseconds
	MeanLatency         float64       `json:"Took"` // seconds
	Samples             float64       `json:"Known"`
	FailureRate         float64       `json:"Failing"`
	EjectionRemaining   time.Duration `json:"Out"` // nanoseconds
	LogCapacity         float64       `json:"Polled"`
	LogCapacityVariance float64       `json:"Error"`
}

// toStored converts knowledge to its stored form.
func toStored(knowledge logic.Knowledge) storedKnowledge {
	stored := storedKnowledge{BaselineLatency: knowledge.BaselineLatency, MeanPriority: knowledge.MeanPriority}
	for _, endpoint := range knowledge.Endpoints {
		stored.Endpoints = append(stored.Endpoints, storedEndpoint(endpoint))
	}
	return stored
}

// toKnowledge converts the stored form back to logic.Knowledge.
func (s storedKnowledge) toKnowledge() logic.Knowledge {
	knowledge := logic.Knowledge{BaselineLatency: s.BaselineLatency, MeanPriority: s.MeanPriority}
	for _, endpoint := range s.Endpoints {
		knowledge.Endpoints = append(knowledge.Endpoints, logic.EndpointKnowledge(endpoint))
	}
	return knowledge
}

// encode returns the contents of a file.
func encode(doc document) ([]byte, error) {
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	data := binary.BigEndian.AppendUint32([]byte(magic), crc32.Checksum(text, castagnoli))
	return append(data, text...), nil
}

// decode decodes the contents of a file. Its errors wrap ErrCorrupt.
func decode(data []byte) (doc document, err error) {
	switch {
	case len(data) > MaxSize:
		return doc, fmt.Errorf("%w: larger than %d bytes", ErrCorrupt, MaxSize)
	case len(data) < headerSize || string(data[:len(magic)]) != magic:
		return doc, fmt.Errorf("%w: not a snapshot file of this format version", ErrCorrupt)
	case binary.BigEndian.Uint32(data[len(magic):]) != crc32.Checksum(data[headerSize:], castagnoli):
		return doc, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	if err := json.Unmarshal(data[headerSize:], &doc); err != nil {
		return doc, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return doc, nil
}
