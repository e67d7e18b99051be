package abuse

import (
	"encoding/binary"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Sizes of what the crowds of this file send.
const (
	megaBytes = 1 << 20 // of the largest body of operators and of serve
	peerBytes = 2 << 20 // of the largest body of other instances
	// megaFit and peerFit are the numbers of such bodies for which there is room at the
	// same time, so that several are executed.
	megaFit = 6
	peerFit = 3
	// fieldBytes is the size of the fields of a head that is as large as allowed.
	fieldBytes = headBytes - 300
)

// Names of the crowds of this file.
const (
	largestBodies  = "largest bodies at once"
	otherMethods   = "bodies of other methods piece by piece"
	manyFields     = "heads of many fields before incomplete bodies"
	fieldsNoEnd    = "heads of many fields without end"
	fieldsLater    = "heads of many fields without end after a request"
	manyKeys       = "many keys"
	patchValues    = "patches of many values"
	specSteps      = "forwarded jobs of many steps"
	headerValues   = "forwarded headers of many values"
	longPolls      = "polls without end"
	longWaits      = "requests that wait for long"
	slowReaders    = "answers read slowly"
	neverReaders   = "answers never read"
	fieldsReopened = "heads of many fields again and again"
)

var (
	// fields are header fields with names of their own and without values.
	fields = func() string {
		b := &strings.Builder{}
		for i := 36; b.Len() < fieldBytes; i++ {
			b.WriteString(fmt.Sprintf("%s:\r\n", name36(i)))
		}
		return b.String()
	}()
	megaBody   = `{"spec":"` + strings.Repeat("x", megaBytes-11) + `"}`
	keysBody   = "{" + repeatTo(megaBytes-20, func(i int) string { return fmt.Sprintf("%q:0,", name36(i)) }) + `"end":0}`
	valuesBody = `{"id":"p","operator":"o","base":0,"change":{"a":[` + strings.Repeat("[],", (megaBytes-70)/3) + `[]]}}`
	specBody   = protoField(1, `{"id":"a","steps":[`+strings.Repeat("{},", (peerBytes-40)/3)+`{}]}`)
	headerBody = protoField(9, strings.Repeat("\x12\x00", (peerBytes-20)/2))
	pollBody   = protoField(1, "leader") + "\x18" + string(binary.AppendUvarint(nil, 3600000)) // wait_ms

	methods = []string{"GET", "DELETE", "PUT", "HEAD", "OPTIONS", "PATCH"}
	turn    atomic.Int64 // of the methods
)

// name36 returns a number with the digits 0 to 9 and a to z.
func name36(i int) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	if i < len(digits) {
		return digits[i : i+1]
	}
	return name36(i/len(digits)) + digits[i%len(digits):i%len(digits)+1]
}

// repeatTo concatenates what part returns for 0, 1 and so on up to size bytes.
func repeatTo(size int, part func(i int) string) string {
	b := &strings.Builder{}
	for i := 0; b.Len() < size; i++ {
		b.WriteString(part(i))
	}
	return b.String()
}

// protoField encodes a protobuf field of bytes.
func protoField(number uint64, content string) string {
	b := binary.AppendUvarint(nil, number<<3|2)
	return string(binary.AppendUvarint(b, uint64(len(content)))) + content
}

// whole returns a POST request with a body.
func (c *client) whole(kind, body string) string {
	return c.head(fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n\r\n", kind, len(body))) + body
}

// sendWhole sends a request less its last byte, and that when all clients are ready.
func (c *client) sendWhole(kind, body string) {
	text := c.whole(kind, body)
	c.send(text[:len(text)-1])
	c.ready()
	c.send(text[len(text)-1:])
}

const (
	jsonKind  = "application/json"
	protoKind = "application/protobuf"
)

// get returns a GET request.
func (c *client) get() string { return "GET " + c.path + " HTTP/1.1\r\nHost: h\r\n" + c.more + "\r\n" }

// moreCrowds are the crowds of this file. init adds the last of them, since allKinds
// refers to the list.
var moreCrowds = []crowd{
	{name: largestBodies, size: some, play: func(c *client) { c.sendWhole(jsonKind, megaBody) }},
	{name: otherMethods, size: many, play: func(c *client) {
		method := methods[turn.Add(1)%int64(len(methods))]
		c.send(method + strings.TrimPrefix(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), "POST"))
		for rest := body[:len(body)-1]; rest != "" && c.send(rest[:min(8192, len(rest))]); {
			rest = rest[min(8192, len(rest)):]
		}
	}},
	{name: manyFields, size: many, play: func(c *client) {
		c.send(c.head(fields + "Content-Length: 2\r\n\r\n{"))
	}},
	{name: fieldsNoEnd, size: many, play: func(c *client) { c.send(c.head(fields)) }},
	// The second head arrives together with the first, so net/http has read a part of it
	// before the first has been answered.
	{name: fieldsLater, size: many, play: func(c *client) {
		c.send(c.get() + c.head(fields))
	}},
	{name: fieldsReopened, size: many, again: true, play: func(c *client) {
		c.send(c.head(fields + "Content-Length: 2\r\n\r\n{"))
		time.Sleep(500 * time.Millisecond)
	}},
	{name: manyKeys, size: megaFit, again: true, play: func(c *client) { c.repeat(c.whole(jsonKind, keysBody), 0) }},
	{name: patchValues, size: megaFit, again: true, play: func(c *client) { c.repeat(c.whole(jsonKind, valuesBody), 0) }},
	{name: specSteps, size: peerFit, again: true, play: func(c *client) { c.repeat(c.whole(protoKind, specBody), 0) }},
	{name: headerValues, size: peerFit, again: true, play: func(c *client) { c.repeat(c.whole(protoKind, headerBody), 0) }},
	{name: longPolls, size: many, again: true, play: func(c *client) {
		c.send(c.whole(protoKind, pollBody))
		c.waitClosed()
	}},
	{name: longWaits, size: many, again: true, play: func(c *client) {
		c.send(c.head("Content-Length: 1\r\n\r\nx"))
		c.waitClosed()
	}},
	// Some 80 KB/s are enough for no write to reach its time limit.
	{name: slowReaders, size: many, again: true, unread: true, play: func(c *client) {
		go func() {
			p := make([]byte, 8192)
			for {
				if _, err := c.Read(p); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		c.repeat(strings.Repeat(c.get(), 100), 0)
	}},
	{name: neverReaders, size: many, again: true, unread: true, play: func(c *client) {
		c.repeat(strings.Repeat(c.get(), 100), 0)
	}},
}

// waitClosed waits until the connection is closed or the case ends.
func (c *client) waitClosed() {
	select {
	case <-c.stop:
	case <-c.closed:
	}
}

// Names of further crowds.
const (
	silent        = "connections without a byte"
	idleAfter     = "idle connections after a request"
	reconnecting  = "connections opened and closed"
	notHTTP       = "bytes that are no request"
	extensions    = "chunk extensions without end"
	trailers      = "trailers of many fields"
	trailersNoEnd = "trailers without end"
	expecting     = "bodies that wait for a continue"
	longPaths     = "long escaped paths before incomplete bodies"
	sameJob       = "largest valid bodies of one job"
	jsonHeaders   = "forwarded headers in JSON of requests that wait"
	protoHeaders  = "forwarded headers of requests that wait"
	patchesAtOnce = "patches of many values at once"
	allKinds      = "all kinds at once"
)

var (
	// firstBytes are what programs send that speak something else.
	firstBytes = []string{
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + padding[:500],                                    // TLS
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 1000), // HTTP/2 settings
		strings.Repeat("\x00", 20000),
		strings.Repeat("\r", 20000),
		"GET / HTTP/9.9\r\n\r\n",
	}
	// validJob is a valid job as large as a body may be.
	validJob = func() string {
		const job = `{"steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":100}]}`
		return job + strings.Repeat(" ", bodyBytes-len(job))
	}()
	jsonHeaderBody  = `{"id":"r","tenant":"club","class":"patient","leftMs":600000,"method":"GET","path":"/","headers":[` + repeatTo(4096-120, func(i int) string { return `{},` }) + `{}]}`
	protoHeaderBody = protoField(1, "r") + protoField(2, "club") + protoField(3, "patient") + "\x30" + string(binary.AppendUvarint(nil, 600000)) +
		protoField(7, "GET") + protoField(8, "/") + strings.Repeat("\x4a\x00", 5000)
	listPatchBody = `{"id":"p","operator":"o","base":0,"change":[` + strings.Repeat("[],", (bodyBytes-100)/3) + `[]]}`
)

func init() {
	moreCrowds = append(moreCrowds, []crowd{
		{name: silent, size: many, play: func(c *client) {}},
		{name: idleAfter, size: many, play: func(c *client) { c.send(c.get()) }},
		{name: reconnecting, size: many, again: true, play: func(c *client) {}},
		{name: notHTTP, size: many, again: true, play: func(c *client) {
			c.send(firstBytes[turn.Add(1)%int64(len(firstBytes))])
			c.waitClosed()
		}},
		{name: extensions, size: some, again: true, play: func(c *client) {
			if c.send(c.head("Transfer-Encoding: chunked\r\n\r\n1;")) {
				c.repeat(padding[:65536], 0)
			}
		}},
		{name: trailers, size: many, again: true, play: func(c *client) {
			c.repeat(c.head("Transfer-Encoding: chunked\r\nTrailer: x\r\n\r\n2\r\n{}\r\n0\r\n"+fields[:3900]+"\r\n"), 10*time.Millisecond)
		}},
		{name: trailersNoEnd, size: many, play: func(c *client) {
			c.send(c.head("Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + fields))
		}},
		{name: expecting, size: many, play: func(c *client) {
			c.send(c.head(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))))
			time.Sleep(100 * time.Millisecond)
			c.send(body[:len(body)-1])
		}},
		{name: longPaths, size: many, play: func(c *client) {
			c.send("POST " + c.path + "/" + strings.Repeat("%41", 5000) + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{")
		}},
		{name: sameJob, size: many, again: true, play: func(c *client) { c.repeat(c.whole(jsonKind, validJob), 0) }},
		{name: jsonHeaders, size: many, again: true, play: func(c *client) {
			c.send(c.whole(jsonKind, jsonHeaderBody))
			c.waitClosed()
		}},
		{name: protoHeaders, size: many, again: true, play: func(c *client) {
			c.send(c.whole(protoKind, protoHeaderBody))
			c.waitClosed()
		}},
		{name: patchesAtOnce, size: few, play: func(c *client) { c.sendWhole(jsonKind, listPatchBody) }},
		{name: allKinds, size: many, play: func(c *client) {
			kinds := []string{wholeBodies, tinyChunks, largeChunks, manyFields, fieldsNoEnd, fieldsLater, bigHeads, expecting, longPaths, trailersNoEnd, silent}
			crowdNamed(kinds[turn.Add(1)%int64(len(kinds))]).play(c)
		}},
	}...)
}
