// Cache of complete response bodies for block-wise transfer (RFC 7959): the
// endpoint is asked once, and callers fetch the blocks from the cache.
#ifndef BURDOCKSTREAM_REQUESTS_BODYSTORE_H
#define BURDOCKSTREAM_REQUESTS_BODYSTORE_H

#include "DeadlineIndex.h"

#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/coap/CoapMessage.h"

#include <map>
#include <memory>

namespace burdockstream::requests {

// Bytes of the largest block, and of the largest body sent without blocks.
inline constexpr size_t MaxBlockSize = 1024;

// Returns the cache key of a GET: its path, and its query without the items
// rid, iat and dl, which differ between requests. Thread safety: any thread.
std::string bodyKey(const coap::CoapMessage &Request);

// Returns the part of Full that answers a request with the Block2 option
// Requested. If the body needs more than one block, the result has Block2 and
// an ETag that depends only on the body. A block beyond the end yields 4.00
// (Bad Request). Thread safety: any thread.
coap::CoapMessage sliceBody(const coap::CoapMessage &Full,
                            const std::optional<coap::Block> &Requested);

// Not thread-safe.
class BodyStore {
public:
  // Stores a body for 60 s, both for Caller and for any caller. The transfer of
  // Caller continues with this body even if another caller's request stores a
  // newer one.
  void put(base::SocketAddress Caller, const std::string &Key,
           const coap::CoapMessage &Full, base::Now Now);

  // Returns the body that Caller's transfer continues with, or else the newest
  // body of any caller, or nullptr.
  std::shared_ptr<const coap::CoapMessage> find(base::SocketAddress Caller,
                                                const std::string &Key) const;

  // Removes expired bodies.
  void tick(base::Now Now);
  // Returns the time at which tick must be called next, or base::Never.
  base::TimePoint nextDeadline() const { return Ends.next(); }

private:
  // A zero address stands for any caller.
  using Transfer = std::pair<base::SocketAddress, std::string>;
  void store(const Transfer &Key, std::shared_ptr<const coap::CoapMessage> Body,
             base::Now Now);

  std::map<Transfer, std::shared_ptr<const coap::CoapMessage>> Bodies;
  DeadlineIndex<Transfer> Ends;
};

} // namespace burdockstream::requests

#endif
