package check

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// MatchesProto fails the test if a proto file does not agree with the
// descriptor in the code generated from it. It needs no generator. It compares
// the names, types and numbers of messages, fields and calls, in order.
func MatchesProto(t *testing.T, file string, f protoreflect.FileDescriptor) {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if want, got := describeSource(string(source)), describeGenerated(f); want != got {
		t.Errorf("generated code does not match %s: got\n%s\nwant\n%s", file, got, want)
	}
}

// describeSource returns a line for each message, field and call of a proto
// file.
func describeSource(source string) string {
	message := regexp.MustCompile(`^message (\w+) \{`)
	field := regexp.MustCompile(`^  (repeated )?(\w+) (\w+) = (\d+);`)
	call := regexp.MustCompile(`^  rpc (\w+)\((\w+)\) returns \((\w+)\);`)
	var out []string
	for _, line := range strings.Split(source, "\n") {
		if m := message.FindStringSubmatch(line); m != nil {
			out = append(out, "message "+m[1])
		}
		if m := field.FindStringSubmatch(line); m != nil {
			out = append(out, m[1]+m[2]+" "+m[3]+" "+m[4])
		}
		if m := call.FindStringSubmatch(line); m != nil {
			out = append(out, "rpc "+m[1]+" "+m[2]+" "+m[3])
		}
	}
	return strings.Join(out, "\n")
}

// describeGenerated returns the same lines as describeSource for a descriptor.
func describeGenerated(f protoreflect.FileDescriptor) string {
	var out []string
	for i := range f.Services().Len() {
		s := f.Services().Get(i)
		for k := range s.Methods().Len() {
			m := s.Methods().Get(k)
			out = append(out, "rpc "+string(m.Name())+" "+string(m.Input().Name())+" "+string(m.Output().Name()))
		}
	}
	for i := range f.Messages().Len() {
		m := f.Messages().Get(i)
		out = append(out, "message "+string(m.Name()))
		for k := range m.Fields().Len() {
			d := m.Fields().Get(k)
			text := d.Kind().String()
			if d.Message() != nil {
				text = string(d.Message().Name())
			}
			if d.IsList() {
				text = "repeated " + text
			}
			out = append(out, text+" "+string(d.Name())+" "+strconv.Itoa(int(d.Number())))
		}
	}
	return strings.Join(out, "\n")
}
