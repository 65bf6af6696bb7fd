// Computes the sizes of messages encoded by msgpack, and packs members and
// records into messages that fit in one datagram.
#ifndef BURDOCKSTREAM_MEMBERSHIP_SRC_WIRESIZE_H
#define BURDOCKSTREAM_MEMBERSHIP_SRC_WIRESIZE_H

#include "burdockstream/membership/Actions.h"
#include "burdockstream/membership/Settings.h"

#include <cstddef>
#include <utility>

namespace burdockstream::membership {

// A msgpack output stream that only counts the bytes written to it.
struct CountingStream {
  size_t Bytes = 0;
  void write(const char *, size_t Length) { Bytes += Length; }
};

// Returns the number of bytes of Value encoded by msgpack.
template <typename T> size_t packedSize(const T &Value) {
  CountingStream Stream;
  msgpack::pack(Stream, Value);
  return Stream.Bytes;
}

inline constexpr size_t FixedFieldBytes = 40;
// Space for the contents of a message: the datagram limit without framing,
// message type, array headers and fixed fields.
inline constexpr size_t MaxContentBytes =
    UnfragmentedDatagramBytes - FramingBytes - FixedFieldBytes;

// Distributes members and records over messages that fit in one datagram each.
// A record that exceeds the limit gets a message of its own, which the network
// layer fragments. Thread safety: none.
template <typename MessageT> class MessagePacker {
public:
  explicit MessagePacker(size_t InitMaxMessages)
      : MaxMessages(InitMaxMessages) {}

  // Adds Member or Record and returns true, or returns false if there is no
  // space and the maximum number of messages is reached.
  bool add(const messages::MemberInfo &Member) {
    return reserve(packedSize(Member)) &&
           (Messages.back().Members.push_back(Member), true);
  }
  bool add(const messages::RecordEntry &Record) {
    return reserve(packedSize(Record)) &&
           (Messages.back().Records.push_back(Record), true);
  }

  // Returns the messages. The packer must not be used afterwards.
  std::vector<MessageT> take() { return std::move(Messages); }

private:
  bool reserve(size_t Bytes) {
    if (Messages.empty() || Used + Bytes > MaxContentBytes) {
      if (Messages.size() == MaxMessages)
        return false;
      Messages.emplace_back();
      Used = 0;
    }
    Used += Bytes;
    return true;
  }

  size_t MaxMessages;
  size_t Used = 0;
  std::vector<MessageT> Messages;
};

} // namespace burdockstream::membership

#endif
