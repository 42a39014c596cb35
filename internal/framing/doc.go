// Package framing watches HTTP/1 connections for messages whose end two readers may see in different places, as in request
// smuggling and desynchronization attacks.
//
// It works below net/http, which drops the length of a message that also has a transfer encoding: a handler can't see any more
// that the message was ambiguous. A Conn passes on all bytes and follows the messages in them (see scanner). Handlers ask by
// the context of their request: Ambiguous says that a request must be rejected, Desynchronized that its connection must close
// after the answer.
package framing
