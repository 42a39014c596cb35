package http

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawChunks draws a body in chunks, some of which are malformed or end early.
func drawChunks(t *rapid.T) string {
	var body strings.Builder
	for range rapid.IntRange(0, 5).Draw(t, "chunks") {
		data := rapid.StringMatching(`[a\r\n]{1,40}`).Draw(t, "data")
		head := rapid.SampledFrom([]string{"%x", "%X", "0%x", "%x;name=value", "%x \t", " %x", "+%x", "%xg", "1%x", "-%x", "0x%x"}).Draw(t, "head")
		end := rapid.SampledFrom([]string{"\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n", ""}).Draw(t, "end of the head")
		fmt.Fprintf(&body, head, len(data))
		body.WriteString(end + data + rapid.SampledFrom([]string{"\r\n", "\r\n", "\r\n", "\r\n", "\n", ""}).Draw(t, "end of the data"))
	}
	body.WriteString(rapid.SampledFrom([]string{"0\r\n\r\n", "0\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n", "0;x\r\n\r\n", "0\r\n", ""}).Draw(t, "last chunk"))
	return body.String()
}

// Bodies that net/http accepts must be read alike, however they are cut into pieces, and those that it rejects must be rejected.
func TestChunksAreReadAsByNetHTTP(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		text := drawChunks(t)
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+text)), nil)
		if err != nil {
			t.Fatal(err)
		}
		want, wantErr := io.ReadAll(response.Body)
		size := rapid.SampledFrom([]int{16, 17, 64, 4096}).Draw(t, "size of the buffer")
		got, gotErr := io.ReadAll(&chunkedBody{reader: bufio.NewReaderSize(strings.NewReader(text), max(size, 16))})
		if (wantErr == nil) != (gotErr == nil) && !(size < len(text) && gotErr != nil) {
			t.Fatalf("error %v, want %v", gotErr, wantErr)
		}
		if wantErr == nil && gotErr == nil && !bytes.Equal(got, want) || gotErr != nil && !bytes.HasPrefix(want, got) && !bytes.HasPrefix(got, want) {
			t.Fatalf("%q, want %q", got, want)
		}
	})
}

// Guards against bytes of a chunk that are held back until the rest of a buffer has arrived.
func TestReadOfAChunkWaitsForItsFirstByteOnly(t *testing.T) {
	t.Parallel()
	ours, endpoint := net.Pipe()
	defer ours.Close()
	go func() {
		for _, piece := range []string{"fff\r\nab", "c", "\r1", "\r\n"} {
			io.WriteString(endpoint, piece) // returns when all of it has been read
		}
		endpoint.Close()
	}()
	body := &chunkedBody{reader: bufio.NewReader(ours)}
	buffer := make([]byte, 1000)
	for _, want := range []string{"ab", "c", "\r1", "\r\n"} {
		if n, err := body.Read(buffer); string(buffer[:n]) != want || err != nil {
			t.Errorf("%q, error %v, want %q", buffer[:n], err, want)
		}
	}
	if _, err := body.Read(buffer); err != io.ErrUnexpectedEOF {
		t.Errorf("error %v in the middle of a chunk", err)
	}
}
