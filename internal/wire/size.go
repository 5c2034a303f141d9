package wire

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// fieldBytes is what a field holds that is decoded, in bytes: an element of a list with the message that it
	// points to.
	fieldBytes = 256
	// packedBytes is what a byte of a packed list of numbers holds.
	packedBytes = 8
)

// RequestBytes returns how many bytes the encoded request of a method holds at most once it is decoded; 0 if there is
// no such method.
func RequestBytes(method string, b []byte) int64 {
	if m := methodOf(method); m != nil {
		return decodedBytes(m.Input(), b)
	}
	return 0
}

// AnswerBytes does the same for its answer.
func AnswerBytes(method string, b []byte) int64 {
	if m := methodOf(method); m != nil {
		return decodedBytes(m.Output(), b)
	}
	return 0
}

func methodOf(name string) protoreflect.MethodDescriptor {
	return File_internal_wire_wire_proto.Services().ByName("Peer").Methods().ByName(protoreflect.Name(name))
}

func decodedBytes(m protoreflect.MessageDescriptor, b []byte) int64 {
	return int64(packedBytes*len(b)) + fieldBytes*int64(countFields(m, b))
}

// countFields counts the fields of a message and of those within it, up to the first that can't be decoded.
func countFields(m protoreflect.MessageDescriptor, b []byte) int {
	fields := 0
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fields
		}
		b = b[n:]
		if n = protowire.ConsumeFieldValue(number, kind, b); n < 0 {
			return fields
		}
		fields++
		if f := m.Fields().ByNumber(number); f != nil && f.Message() != nil && kind == protowire.BytesType {
			inner, _ := protowire.ConsumeBytes(b)
			fields += countFields(f.Message(), inner)
		}
		b = b[n:]
	}
	return fields
}
