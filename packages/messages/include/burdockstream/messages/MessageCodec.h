// Encodes and decodes authenticated datagrams between daemons. Layout: version
// (1 byte), key id (1), sender's DaemonId (8), sequence (8), packed body
// (MessageBody.h), SipHash-2-4-128 over all preceding bytes (16). Integers in
// the frame are big-endian.
#ifndef BURDOCKSTREAM_MESSAGES_MESSAGECODEC_H
#define BURDOCKSTREAM_MESSAGES_MESSAGECODEC_H

#include "burdockstream/base/Error.h"
#include "burdockstream/messages/DataMessages.h"
#include "burdockstream/messages/Messages.h"
#include "burdockstream/messages/ReplayWindow.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace burdockstream::messages {

inline constexpr uint8_t WireVersion = 1;
inline constexpr size_t FrameHeaderBytes = 18;
inline constexpr size_t MacBytes = 16;
inline constexpr size_t FrameBytes = FrameHeaderBytes + MacBytes;

// Largest payload of a UDP datagram over IPv4.
inline constexpr size_t MaxDatagramBytes = 65'507;

struct MessageKey {
  uint8_t Id = 0;
  std::array<uint8_t, 16> Secret{};
};

// Parses a key secret of 32 hexadecimal digits. Any other text gives an error
// of kind InvalidArgument. Thread safety: any thread.
base::Result<MessageKey> parseMessageKey(uint8_t Id, std::string_view Hex);

// Two keys are accepted at a time, so that keys can be rotated one daemon at a
// time: first every daemon accepts the new key, then each sends with it.
struct MessageKeys {
  MessageKey Sending;
  std::optional<MessageKey> AlsoAccepted; // its Id must differ from Sending.Id
};

struct Decoded {
  base::DaemonId Sender;
  uint64_t Sequence = 0;
  Message Body;
};

struct DecodedForward {
  base::DaemonId Sender;
  uint64_t Sequence = 0;
  ForwardView Body;
};

struct DecodedReply {
  base::DaemonId Sender;
  uint64_t Sequence = 0;
  ReplyView Body;
};

// Numbers of received datagrams by decoding result since the codec was created.
struct CodecCounters {
  uint64_t Accepted = 0;
  // No longer than a frame without a body, or longer than a UDP datagram.
  uint64_t Truncated = 0;
  uint64_t BadVersion = 0;
  uint64_t UnknownKey = 0;
  uint64_t BadMac = 0;
  uint64_t Replayed = 0;
  uint64_t BadBody = 0; // unknown type or malformed fields
};

class MessageCodec {
public:
  // Self must not be zero and must be a new random id for each run of the
  // daemon, so that sequence numbers can start at 1. MaxSenders is the number
  // of senders tracked for replay detection.
  MessageCodec(base::DaemonId Self, const MessageKeys &Keys,
               size_t MaxSenders = ReplayWindow::DefaultMaxSenders);

  // Replaces the keys; sequence numbers continue. The ids of the keys must
  // differ. Thread safety: loop thread
  // only.
  void setKeys(const MessageKeys &Keys);

  // Returns the framed message with the next sequence number. The result may
  // exceed MaxDatagramBytes if the message is too large for one datagram.
  // Thread safety: loop thread only.
  Bytes encode(const Message &Body);

  // Authenticates Datagram, rejects replays, then decodes the body. Errors have
  // kind Corrupt, except replays, which have kind AlreadyExists. Thread safety:
  // loop thread only.
  base::Result<Decoded> decode(std::span<const uint8_t> Datagram);

  // Writes a framed message to the start of Out without heap allocation.
  // Returns its size in bytes, or zero (without using a sequence number) if Out
  // is too small; FrameBytes + MaxDataOverhead + payload always suffices.
  // Payload must not overlap Out. Thread safety: loop thread only.
  size_t encodeForward(std::span<uint8_t> Out, const ForwardView &View);
  size_t encodeReply(std::span<uint8_t> Out, const ReplyView &View);

  // Like decode, for one message type and without heap allocation, except for a
  // sender's first message. The payload points into Datagram. Returns nullopt
  // and counts the cause if the datagram is rejected. Thread safety: loop
  // thread only.
  std::optional<DecodedForward>
  decodeForwardView(std::span<const uint8_t> Datagram);
  std::optional<DecodedReply>
  decodeReplyView(std::span<const uint8_t> Datagram);

  // Returns the type number in the unauthenticated Datagram, for the choice of
  // the decoding function, or nullopt if the datagram is too short, has another
  // version or has an unknown type. Thread
  // safety: any thread.
  static std::optional<uint8_t> peekType(std::span<const uint8_t> Datagram);

  // Thread safety: loop thread only.
  const CodecCounters &counters() const { return Counters; }

private:
  struct Frame {
    base::DaemonId Sender;
    uint64_t Sequence = 0;
    std::span<const uint8_t> Body;
  };

  const MessageKey *findKey(uint8_t Id) const;
  base::Result<Frame> authenticateFrame(std::span<const uint8_t> Datagram);
  void writeHeader(std::span<uint8_t> Out) const;
  size_t seal(std::span<uint8_t> Out, size_t BodySize);

  base::DaemonId Self;
  MessageKeys Keys;
  uint64_t NextSequence = 1;
  ReplayWindow Window;
  CodecCounters Counters;
};

} // namespace burdockstream::messages

#endif
