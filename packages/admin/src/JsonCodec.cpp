#include "JsonCodec.h"

#include "burdockstream/base/JsonText.h"

namespace burdockstream::admin::internal {

Json::Value parseJson(const std::string &Text) {
  const auto Document = base::JsonDocument::parse(Text, "request");
  return Document.has_value() ? Document.value().root()
                              : Json::Value(Json::nullValue);
}

} // namespace burdockstream::admin::internal
