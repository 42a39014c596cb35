// Package framing detects HTTP/1 messages whose end two parsers could see in different places. Such messages are used for request
// smuggling and desynchronization attacks.
//
// The detection works below net/http, which drops the Content-Length of a message that also has a Transfer-Encoding, so that a
// handler can't see that the message was ambiguous. A Conn passes all bytes on unchanged and follows the message boundaries in
// them (see scanner). Handlers query the result through the context of their request: if Ambiguous reports true, the request must
// be rejected; if Desynchronized does, the connection must be closed after the answer.
//
// A Conn also bounds what a head costs once it is parsed: its fields are counted before net/http sees them, and a head over the ordinary
// size must find room in a memory budget. Otherwise Read returns ErrHeadRefused, which net/http answers with 400.
package framing
