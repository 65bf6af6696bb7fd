#include "BodyStore.h"

#include "burdockstream/base/Hash.h"

#include <algorithm>

namespace burdockstream::requests {

namespace {

constexpr base::Duration BodyRetention = std::chrono::seconds(60);

// All agents use the same seed, so that a transfer can continue at another
// agent.
constexpr uint64_t ETagSeed = 0;

messages::Bytes etagOf(const messages::Bytes &Body) {
  uint64_t Hash = base::hashBytes(
      {reinterpret_cast<const char *>(Body.data()), Body.size()}, ETagSeed);
  messages::Bytes ETag(8);
  for (uint8_t &Byte : ETag) {
    Byte = static_cast<uint8_t>(Hash);
    Hash >>= 8;
  }
  return ETag;
}

} // namespace

std::string bodyKey(const coap::CoapMessage &Request) {
  std::vector<std::string> Items;
  for (const std::string &Item : Request.Query)
    if (!Item.starts_with("rid=") && !Item.starts_with("iat=") &&
        !Item.starts_with("dl="))
      Items.push_back(Item);
  return coap::joinPath(Request.Path) + "?" + coap::joinQuery(Items);
}

coap::CoapMessage sliceBody(const coap::CoapMessage &Full,
                            const std::optional<coap::Block> &Requested) {
  coap::CoapMessage Part = Full;
  Part.Block2.reset();
  if (!Requested && Full.Payload.size() <= MaxBlockSize)
    return Part;
  const coap::Block Wanted = Requested.value_or(coap::Block{});
  const size_t Size = size_t{1} << (Wanted.SizeExponent + 4);
  const size_t Start = Wanted.Number * Size;
  if (Start > 0 && Start >= Full.Payload.size()) {
    coap::CoapMessage Error;
    Error.MessageCode = coap::Code::BadRequest;
    const std::string_view Reason = "block beyond the end of the body";
    Error.Payload.assign(Reason.begin(), Reason.end());
    return Error;
  }
  const size_t End = std::min(Start + Size, Full.Payload.size());
  Part.Payload.assign(Full.Payload.begin() + static_cast<ptrdiff_t>(Start),
                      Full.Payload.begin() + static_cast<ptrdiff_t>(End));
  Part.Block2 = coap::Block{Wanted.Number, End < Full.Payload.size(),
                            Wanted.SizeExponent};
  if (Full.Payload.size() > Size)
    Part.ETag = etagOf(Full.Payload);
  return Part;
}

void BodyStore::store(const Transfer &Key,
                      std::shared_ptr<const coap::CoapMessage> Body,
                      base::Now Now) {
  Bodies[Key] = std::move(Body);
  Ends.set(Key, Now.Monotonic + BodyRetention);
}

void BodyStore::put(base::SocketAddress Caller, const std::string &Key,
                    const coap::CoapMessage &Full, base::Now Now) {
  const auto Body = std::make_shared<const coap::CoapMessage>(Full);
  store({Caller, Key}, Body, Now);
  store({base::SocketAddress{}, Key}, Body, Now);
}

std::shared_ptr<const coap::CoapMessage>
BodyStore::find(base::SocketAddress Caller, const std::string &Key) const {
  for (const base::SocketAddress Owner : {Caller, base::SocketAddress{}})
    if (const auto Found = Bodies.find({Owner, Key}); Found != Bodies.end())
      return Found->second;
  return nullptr;
}

void BodyStore::tick(base::Now Now) {
  while (const auto Key = Ends.popDue(Now.Monotonic))
    Bodies.erase(*Key);
}

} // namespace burdockstream::requests
