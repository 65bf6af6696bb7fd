// CoAP responses that the agent generates itself (design section 4.1). Thread
// safety: any thread.
#ifndef BURDOCKSTREAM_REQUESTS_LOCALRESPONSES_H
#define BURDOCKSTREAM_REQUESTS_LOCALRESPONSES_H

#include "burdockstream/base/Time.h"
#include "burdockstream/coap/CoapMessage.h"

#include <algorithm>
#include <string_view>

namespace burdockstream::requests {

// Returns a response with Text as diagnostic payload.
inline coap::CoapMessage makeResponse(coap::Code Code, std::string_view Text) {
  coap::CoapMessage Answer;
  Answer.MessageCode = Code;
  Answer.Payload.assign(Text.begin(), Text.end());
  return Answer;
}

// Returns the response for a request that did not run. The caller may retry
// after RetryAfter, which is rounded up to whole seconds and limited to 1 to
// 3600 s.
inline coap::CoapMessage makeNotRunResponse(base::Duration RetryAfter) {
  coap::CoapMessage Answer =
      makeResponse(coap::Code::ServiceUnavailable, "not-run");
  const auto Seconds =
      std::chrono::ceil<std::chrono::seconds>(RetryAfter).count();
  Answer.MaxAgeSeconds =
      static_cast<uint32_t>(std::clamp<int64_t>(Seconds, 1, 3600));
  return Answer;
}

// Returns the response for a request that may have run.
inline coap::CoapMessage makeUnknownResponse() {
  return makeResponse(coap::Code::GatewayTimeout, "unknown");
}

} // namespace burdockstream::requests

#endif
