#include "JsonText.h"

#include <json/reader.h>

#include <memory>

namespace burdockstream::e2e {

Json::Value parseJson(const std::string &Text) {
  const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value Value;
  Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr);
  return Value;
}

} // namespace burdockstream::e2e
