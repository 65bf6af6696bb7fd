// Signature of daemon-to-daemon JSON-RPC requests: HMAC-SHA256 over a timestamp
// and the body.
#ifndef BURDOCKSTREAM_ADMIN_REQUESTSIGNATURE_H
#define BURDOCKSTREAM_ADMIN_REQUESTSIGNATURE_H

#include "burdockstream/base/Time.h"

#include <string>
#include <vector>

namespace burdockstream::admin {

struct SigningKey {
  std::string Id;
  std::string Secret;
};

// How far the timestamp of a signature may be from the receiver's clock. It
// bounds how long a copied request could be replayed; the methods themselves
// are idempotent.
inline constexpr int64_t SignatureToleranceMilliseconds = 10'000;

// Returns the header value "key-id:timestamp:hex". Thread safety: any thread.
std::string signRequest(const SigningKey &Key, base::WallTime Time,
                        const std::string &Body);

// Checks a header value against any of Keys. Thread safety: any thread.
bool verifyRequest(const std::vector<SigningKey> &Keys, base::WallTime Time,
                   const std::string &Signature, const std::string &Body);

} // namespace burdockstream::admin

#endif
