package guard

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/tamaracklink/tamaracklink/internal/state/limit"
)

// Limits of calls between instances.
const (
	// MaxPeerBytes is the largest body. The largest bodies are a relay's orders, of
	// which a leader sends at most 1 MiB at a time unless a single one is larger, and
	// forwarded requests of at most 1 MiB with their heads.
	MaxPeerBytes = 2 << 20
	// maxPeerFields is the largest number of fields of a message, and of elements of
	// lists in the messages that it contains. A field of two bytes decodes to some 200,
	// so without it a body would take a hundred times its size. The messages with most
	// fields have one for each order, of which a leader sends some 2,100 in a call, for
	// each worker, or for each header of at least four bytes in the 20 KiB that net/http
	// reads of a head, with as many elements for the headers' values.
	maxPeerFields = 5 << 10
	// maxPeerJSONBytes is the largest body in JSON, which twirp serves too and no
	// instance sends. It can't be checked before it is decoded, to some 70 times its
	// size. Longer bodies take more than a time slice to decode, so that all that are
	// held are decoded at the same time: 180 bodies of 64 KiB took 515 MB.
	maxPeerJSONBytes = 4 << 10
)

// PeerRule returns the rule for calls of other instances.
func PeerRule(budget *limit.Budget, r *http.Request) Rule {
	kind := strings.TrimSpace(strings.ToLower(r.Header.Get("Content-Type")))
	if !strings.HasPrefix(kind, "application/protobuf") {
		return Rule{Budget: budget, MaxBytes: maxPeerJSONBytes}
	}
	return Rule{Budget: budget, MaxBytes: MaxPeerBytes, Check: func(body io.Reader) (int64, error) {
		return checkMessage(body, requestMessage(r.URL.Path))
	}}
}

// requestMessage returns the descriptor of the request of a call, nil if its path names
// no method. Paths have the form PREFIX/PACKAGE.SERVICE/METHOD.
func requestMessage(urlPath string) protoreflect.MessageDescriptor {
	dir, method := path.Split(urlPath)
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(path.Base(dir)))
	if err != nil {
		return nil
	}
	service, ok := found.(protoreflect.ServiceDescriptor)
	if !ok {
		return nil
	}
	m := service.Methods().ByName(protoreflect.Name(method))
	if m == nil {
		return nil
	}
	return m.Input()
}

// checkMessage returns the memory that decoding an encoded message takes beside its
// size, or an error for a message with more fields than maxPeerFields or whose fields
// can't be told apart. Without a descriptor it looks into no field. The memory is charged
// since a crowd of short messages would otherwise take most of it while they wait for
// their turn.
func checkMessage(body io.Reader, message protoreflect.MessageDescriptor) (int64, error) {
	c := &fieldCounter{r: bufio.NewReader(body)}
	if err := c.count(message, maxMessageBytes, 0); err != nil {
		return 0, errors.Wrap(err, "read field of message")
	}
	return int64(c.fields+c.elements) * limit.FieldBytes, nil
}

// maxMessageBytes means that a message ends with the body.
const maxMessageBytes = 1 << 62

// fieldCounter counts the fields of an encoded message.
type fieldCounter struct {
	r        *bufio.Reader
	offset   uint64
	fields   int                                     // of the message itself
	elements int                                     // of lists in the messages that it contains
	lists    map[protoreflect.MessageDescriptor]bool // results of hasLists
}

// ReadByte implements io.ByteReader.
func (c *fieldCounter) ReadByte() (byte, error) {
	b, err := c.r.ReadByte()
	if err == nil {
		c.offset++
	}
	return b, err
}

// count counts the fields up to the offset end, which are those of a message with the
// given descriptor at the given depth.
func (c *fieldCounter) count(message protoreflect.MessageDescriptor, end uint64, depth int) error {
	for c.offset < end {
		tag, err := binary.ReadUvarint(c)
		if err == io.EOF && end == maxMessageBytes {
			return nil
		}
		if err != nil {
			return err
		}
		var field protoreflect.FieldDescriptor
		if message != nil {
			field = message.Fields().ByNumber(protoreflect.FieldNumber(tag >> 3))
		}
		if err := c.add(field, depth); err != nil {
			return err
		}
		if err := c.skip(tag&7, field, depth); err != nil {
			return err
		}
	}
	if c.offset > end {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// add counts a field. Fields of contained messages that are no lists replace each
// other.
func (c *fieldCounter) add(field protoreflect.FieldDescriptor, depth int) error {
	switch {
	case depth == 0:
		c.fields++
	case field != nil && field.IsList():
		c.elements++
	}
	if c.fields > maxPeerFields || c.elements > maxPeerFields {
		return errors.Errorf("message has more than %d fields", maxPeerFields)
	}
	return nil
}

// skip reads the value of a field of the given wire type, and counts the fields of a
// contained message.
func (c *fieldCounter) skip(wireType uint64, field protoreflect.FieldDescriptor, depth int) error {
	var length uint64
	switch wireType {
	case 0:
		_, err := binary.ReadUvarint(c)
		return noEOF(err)
	case 1:
		length = 8
	case 2:
		var err error
		if length, err = binary.ReadUvarint(c); err != nil {
			return noEOF(err)
		}
	case 5:
		length = 4
	default:
		return errors.Errorf("field has unknown type %d", wireType)
	}
	if length > MaxPeerBytes {
		return io.ErrUnexpectedEOF
	}
	if wireType == 2 && field != nil && c.hasLists(field.Message()) {
		return noEOF(c.count(field.Message(), c.offset+length, depth+1))
	}
	n, err := c.r.Discard(int(length))
	c.offset += uint64(n)
	return noEOF(err)
}

// hasLists reports whether a message, or one that it contains, has a list. Others are
// skipped as a whole, such as the orders of a leader. A nil message has none.
func (c *fieldCounter) hasLists(message protoreflect.MessageDescriptor) bool {
	if message == nil {
		return false
	}
	has, known := c.lists[message]
	if known {
		return has
	}
	if c.lists == nil {
		c.lists = map[protoreflect.MessageDescriptor]bool{}
	}
	c.lists[message] = false // while it is looked into, for messages that contain themselves
	for i := range message.Fields().Len() {
		if f := message.Fields().Get(i); f.IsList() || c.hasLists(f.Message()) {
			c.lists[message] = true
			break
		}
	}
	return c.lists[message]
}

// noEOF returns err, or io.ErrUnexpectedEOF for io.EOF.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
