package wire

import (
	"encoding/json"
	"strconv"

	"ryeweir/logic"
)

// AppendAction appends the line that encodes an action of an instance.
func AppendAction(out []byte, instance string, action logic.Action) []byte {
	switch action.Kind {
	case logic.Send:
		out = appendRequest(out, "Send", instance, action.Request)
		out = appendString(out, `,"Backend":`, action.Endpoint)
		if action.Delay > 0 {
			out = appendUint(out, `,"TryForNs":`, uint64(action.Delay))
		}
	case logic.Reject:
		out = appendRequest(out, "Shed", instance, action.Request)
		if action.Delay > 0 {
			out = appendUint(out, `,"ComeBackNs":`, uint64(action.Delay))
		}
	case logic.Fail:
		out = appendRequest(out, "FinishError", instance, action.Request)
	case logic.SetTimer:
		out = appendUint(appendHead(out, "Schedule", instance), `,"Handle":`, action.Token)
		out = appendUint(out, `,"FromNowNs":`, uint64(max(action.Delay, 0)))
	case logic.HealthCheck:
		out = appendString(appendHead(out, "Poll", instance), `,"Backend":`, action.Endpoint)
	case logic.Subscribe:
		out = append(appendHead(out, "Listen", instance), `,"On":true`...)
	}
	return append(out, "}\n"...)
}

// AppendYield appends the line that ends a reply.
func AppendYield(out []byte) []byte { return append(out, `{"type":"Yield"}`+"\n"...) }

// appendHead appends the start of a line: its type and instance.
func appendHead(out []byte, kind, instance string) []byte {
	out = append(out, `{"type":"`...)
	out = append(out, kind...)
	return appendString(out, `","I":`, instance)
}

// appendRequest appends the start of a line about a request: its type, instance and request ID.
func appendRequest(out []byte, kind, instance, request string) []byte {
	return appendString(appendHead(out, kind, instance), `,"Tid":`, request)
}

func appendUint(out []byte, key string, n uint64) []byte {
	return strconv.AppendUint(append(out, key...), n, 10)
}

// appendString appends a key and a JSON string. Printable ASCII, such as IDs, is copied; any other text is quoted by encoding/json.
func appendString(out []byte, key, text string) []byte {
	out = append(out, key...)
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text) // never fails for a string
			return append(out, quoted...)
		}
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}
