package inbound

import (
	"context"
	"runtime"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	protobuf "google.golang.org/protobuf/proto"
)

// minReplyBytes is the size from which a reply is accounted. Smaller ones are covered by callBytes.
const minReplyBytes = 4 << 10

// replyCodec accounts replies that the client of a connection does not read. gRPC queues them without a bound.
type replyCodec struct {
	encoding.CodecV2
	// owners holds the connections of replies that are about to be encoded.
	owners *sync.Map
}

func newReplyCodec() replyCodec {
	return replyCodec{encoding.GetCodecV2(proto.Name), &sync.Map{}}
}

// Marshal implements encoding.CodecV2.
func (c replyCodec) Marshal(message any) (mem.BufferSlice, error) {
	owner, found := c.owners.LoadAndDelete(message)
	reply, isProto := message.(protobuf.Message)
	if !found || !isProto {
		return c.CodecV2.Marshal(message)
	}
	// The buffers of gRPC's pool are up to 1 MiB each, whatever the size of the reply.
	data, err := protobuf.Marshal(reply)
	if err != nil || len(data) < minReplyBytes {
		return mem.BufferSlice{mem.SliceBuffer(data)}, err
	}
	return mem.BufferSlice{mem.NewBuffer(&data, owner.(*peerConn).holdReply(int64(len(data))))}, nil
}

// interceptUnary notes the connection of a reply.
func (c replyCodec) interceptUnary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	reply, err := handle(ctx, request)
	c.note(ctx, reply, err)
	return reply, err
}

func (c replyCodec) note(ctx context.Context, reply any, err error) {
	if conn, ok := ctx.Value(peerKey{}).(*peerConn); ok && err == nil {
		c.owners.Store(reply, conn)
	}
}

// interceptStream notes the connection of each message of a stream.
func (c replyCodec) interceptStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	return handle(server, notingStream{stream, c})
}

type notingStream struct {
	grpc.ServerStream
	codec replyCodec
}

// SendMsg implements grpc.ServerStream.
func (s notingStream) SendMsg(message any) error {
	s.codec.note(s.Context(), message, nil)
	return s.ServerStream.SendMsg(message)
}

// heldReply is the memory of a reply. gRPC returns the buffer to it once the reply is written or dropped. It
// implements mem.BufferPool.
type heldReply struct{ release func() }

// holdReply accounts a reply of n bytes until its buffer is returned or collected.
func (c *peerConn) holdReply(n int64) *heldReply {
	c.guard.ledger.hold(&c.account, n)
	held := &heldReply{sync.OnceFunc(func() { c.guard.ledger.release(&c.account, n) })}
	// Replies that are queued on a connection that closes are not returned.
	runtime.AddCleanup(held, func(release func()) { release() }, held.release)
	return held
}

// Get implements mem.BufferPool.
func (*heldReply) Get(length int) *[]byte {
	buffer := make([]byte, length)
	return &buffer
}

// Put implements mem.BufferPool.
func (h *heldReply) Put(*[]byte) { h.release() }
