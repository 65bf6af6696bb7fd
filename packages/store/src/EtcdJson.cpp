#include "burdockstream/store/EtcdJson.h"

#include <charconv>

namespace burdockstream::store::etcd {

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    const auto Last = static_cast<unsigned char>(Prefix.back());
    if (Last < 0xff) {
      Prefix.back() = static_cast<char>(Last + 1);
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0'); // a zero byte means "all keys" to the gateway
}

int64_t toInteger(const Json::Value &Value) {
  if (Value.isIntegral())
    return Value.asInt64();
  if (!Value.isString())
    return 0;
  const std::string Text = Value.asString();
  int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

KeyValue toKeyValue(const Json::Value &Value) {
  KeyValue Entry;
  Entry.Key = decodeBase64(Value["key"].asString());
  Entry.Value = decodeBase64(Value["value"].asString());
  Entry.ModRevision = toInteger(Value["mod_revision"]);
  return Entry;
}

Json::Value putBody(const PutRequest &Request) {
  Json::Value Put;
  Put["key"] = encodeBase64(Request.Key);
  Put["value"] = encodeBase64(Request.Value);
  if (Request.Lease != NoLease)
    Put["lease"] = std::to_string(Request.Lease);
  return Put;
}

Json::Value casBody(const CasRequest &Request) {
  const std::string Key = encodeBase64(Request.Key);
  Json::Value Compare;
  Compare["key"] = Key;
  Compare["target"] = "MOD";
  Compare["result"] = "EQUAL";
  Compare["mod_revision"] = std::to_string(Request.ExpectedRevision);
  Json::Value Put;
  Put["request_put"] = putBody({Request.Key, Request.Value, Request.Lease});
  Json::Value Read;
  Read["request_range"]["key"] = Key;
  Json::Value Body;
  Body["compare"].append(Compare);
  Body["success"].append(Put);
  Body["failure"].append(Read);
  return Body;
}

} // namespace burdockstream::store::etcd
