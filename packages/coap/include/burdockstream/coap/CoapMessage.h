// Typed representation of CoAP messages (RFC 7252), with parsing and
// serialization. libcoap decodes the wire format and encodes the options; no
// sockets are used.
#ifndef BURDOCKSTREAM_COAP_COAPMESSAGE_H
#define BURDOCKSTREAM_COAP_COAPMESSAGE_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/messages/Messages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::coap {

using messages::Bytes;

enum class MessageType : uint8_t {
  Confirmable,
  NonConfirmable,
  Acknowledgement,
  Reset
};

// Request methods and response codes. Other values may occur on the wire.
enum class Code : uint8_t {
  Empty = 0,
  Get = 1,
  Post = 2,
  Put = 3,
  Delete = 4,
  Created = 0x41,
  Deleted = 0x42,
  Valid = 0x43,
  Changed = 0x44,
  Content = 0x45,
  BadRequest = 0x80,
  BadOption = 0x82,
  NotFound = 0x84,
  MethodNotAllowed = 0x85,
  RequestEntityTooLarge = 0x8d,
  InternalServerError = 0xa0,
  BadGateway = 0xa2,
  ServiceUnavailable = 0xa3,
  GatewayTimeout = 0xa4,
};

// Elective experimental option: Unix time in milliseconds after which an
// endpoint must not start the request.
inline constexpr uint16_t NotAfterOption = 65004;

// Largest body of a response in bytes. With its options, such a response still
// fits into one UDP datagram between endpoint and agent.
inline constexpr size_t MaxBodySize = 60'000;

// The Block2 option of RFC 7959.
struct Block {
  uint32_t Number = 0; // 20 bits
  bool More = false;
  uint8_t SizeExponent = 6; // a block has 2^(SizeExponent + 4) bytes; at most 6
  friend bool operator==(const Block &, const Block &) = default;
};

// An option that CoapMessage has no field for, or a repetition of an option
// that may occur only once.
struct RawOption {
  uint16_t Number = 0;
  Bytes Value;
  friend bool operator==(const RawOption &, const RawOption &) = default;
};

struct CoapMessage {
  MessageType Type = MessageType::Confirmable;
  Code MessageCode = Code::Empty;
  uint16_t MessageId = 0;
  Bytes Token; // at most 8 bytes
  std::vector<std::string> Path;
  std::vector<std::string> Query;
  std::optional<uint32_t> Observe; // 24 bits
  std::optional<Block> Block2;
  Bytes ETag; // empty: none; at most 8 bytes
  std::optional<uint32_t> MaxAgeSeconds;
  std::optional<uint16_t> ContentFormat;
  std::optional<base::WallTime> NotAfter;
  std::vector<RawOption> OtherOptions; // sorted by number
  Bytes Payload;
  friend bool operator==(const CoapMessage &, const CoapMessage &) = default;
};

// Returns whether Value is a request method (class 0, not empty). Thread
// safety: any thread.
bool isRequest(Code Value);

// Returns whether Value is a response code (class 2, 4 or 5). Thread safety:
// any thread.
bool isResponse(Code Value);

// Formats Value as "c.dd", for example "2.05". Thread safety: any thread.
std::string toString(Code Value);

// Formats the segments as "/a/b". '%' and '/' inside a segment are
// percent-encoded, so that different paths have different texts. Thread safety:
// any thread.
std::string joinPath(const std::vector<std::string> &Segments);

// Inverse of joinPath. Thread safety: any thread.
std::vector<std::string> splitPath(std::string_view Text);

// Formats the items as "a=1&b=2". '%' and '&' inside an item are
// percent-encoded. Thread safety: any thread.
std::string joinQuery(const std::vector<std::string> &Items);

// Inverse of joinQuery. Thread safety: any thread.
std::vector<std::string> splitQuery(std::string_view Text);

// Returns the value of the query item "Name=value", if there is one. Thread
// safety: any thread.
std::optional<std::string> queryValue(const CoapMessage &Message,
                                      std::string_view Name);

// Returns the number of the first critical option of Message that has no field
// in CoapMessage and is not one of the request options left to the endpoint
// (If-Match, Uri-Host, If-None-Match, Uri-Port, Accept). A request with such an
// option must be answered with 4.02 (Bad Option). Thread safety: any thread.
std::optional<uint16_t> unsupportedCriticalOption(const CoapMessage &Message);

// Parses one datagram. Malformed input gives ErrorKind::Corrupt. Thread
// safety: any thread.
base::Result<CoapMessage> parseMessage(std::span<const uint8_t> Datagram);

// Encodes Message as one datagram. Fields that exceed the limits of CoAP or
// of a UDP datagram give ErrorKind::InvalidArgument or
// ErrorKind::LimitExceeded. Thread safety: any thread.
base::Result<messages::Bytes> serializeMessage(const CoapMessage &Message);

} // namespace burdockstream::coap

#endif
