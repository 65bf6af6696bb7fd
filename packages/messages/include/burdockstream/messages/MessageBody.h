// Unframed msgpack encoding of a message: an array of the type number and the
// message's fields. MessageCodec wraps it in an authenticated datagram; bucket
// handover over HTTP carries it without a frame.
#ifndef BURDOCKSTREAM_MESSAGES_MESSAGEBODY_H
#define BURDOCKSTREAM_MESSAGES_MESSAGEBODY_H

#include "burdockstream/base/Error.h"
#include "burdockstream/messages/Messages.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace burdockstream::messages {

// Largest body that unpackBody accepts. The snapshot of a bucket with 2,000
// request records whose answers are 1 KB each takes about 2.2 MB.
inline constexpr size_t MaxBodyBytes = size_t{16} << 20;

// Returns the packed form of Body. Thread safety: any thread.
Bytes packBody(const Message &Body);

// Inverse of packBody. Any other input, including trailing bytes and
// bodies over MaxBodyBytes, gives an error of kind Corrupt. Memory use is
// proportional to the input's size. Call only for authenticated input. Thread
// safety: any thread.
base::Result<Message> unpackBody(std::span<const uint8_t> Packed);

// Output stream for msgpack::packer that appends to a byte vector, which must
// outlive the writer.
class BytesWriter {
public:
  explicit BytesWriter(Bytes &InitOut) : Out(InitOut) {}
  void write(const char *Data, size_t Size) {
    Out.insert(Out.end(), Data, Data + Size);
  }

private:
  Bytes &Out;
};

} // namespace burdockstream::messages

#endif
