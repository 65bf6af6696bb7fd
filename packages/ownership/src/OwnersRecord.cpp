#include "burdockstream/ownership/OwnersRecord.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <charconv>
#include <glog/logging.h>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace burdockstream::ownership {
namespace {

constexpr int FormatVersion = 1;

std::string toHex(uint64_t Value) {
  return base::toString(base::DaemonId{Value});
}

// 64-bit ids are hexadecimal strings, because common JSON tools round numbers
// above 2^53.
std::optional<uint64_t> fromHex(const Json::Value &Value) {
  if (!Value.isString())
    return std::nullopt;
  const std::string Text = Value.asString();
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number, 16);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

base::Error corrupt(const std::string &What) {
  return base::makeError(base::ErrorKind::Corrupt,
                         "ownership record: " + What +
                             "; restore the key from a backup or delete it "
                             "while no agent of the service runs");
}

bool decodeOwners(const Json::Value &List, OwnersRecord &Record) {
  if (!List.isArray())
    return false;
  for (const Json::Value &Item : List) {
    if (!Item.isArray() || Item.size() != 3 || !Item[1].isUInt64())
      return false;
    const auto Id = fromHex(Item[0]);
    const auto Hash = fromHex(Item[2]);
    if (!Id || *Id == 0 || !Hash || Record.owner(base::DaemonId{*Id}))
      return false;
    Record.Owners.push_back({base::DaemonId{*Id}, Item[1].asUInt64(), *Hash});
  }
  return true;
}

// A bucket is encoded as [epoch, index into owners], or as [0] if it was never
// owned.
bool decodeBuckets(const Json::Value &List, OwnersRecord &Record) {
  if (!List.isArray())
    return false;
  for (const Json::Value &Item : List) {
    if (!Item.isArray() || Item.empty() || !Item[0].isUInt64())
      return false;
    BucketEntry Entry{base::DaemonId{}, Item[0].asUInt64()};
    if (Entry.OwnerEpoch == 0 ? Item.size() != 1
                              : Item.size() != 2 || !Item[1].isUInt() ||
                                    Item[1].asUInt() >= Record.Owners.size())
      return false;
    if (Entry.OwnerEpoch != 0)
      Entry.Owner = Record.Owners[Item[1].asUInt()].Id;
    Record.Buckets.push_back(Entry);
  }
  return true;
}

} // namespace

const OwnerEntry *OwnersRecord::owner(base::DaemonId Id) const {
  const auto It = std::ranges::find(Owners, Id, &OwnerEntry::Id);
  return It == Owners.end() ? nullptr : &*It;
}

void OwnersRecord::setOwner(const OwnerEntry &Entry) {
  const auto It = std::ranges::find(Owners, Entry.Id, &OwnerEntry::Id);
  if (It == Owners.end())
    Owners.push_back(Entry);
  else
    *It = Entry;
}

void OwnersRecord::removeOwnersWithoutBuckets() {
  std::unordered_set<base::DaemonId> OwnersWithBuckets;
  for (const BucketEntry &Entry : Buckets)
    OwnersWithBuckets.insert(Entry.Owner);
  std::erase_if(Owners, [&](const OwnerEntry &Entry) {
    return !OwnersWithBuckets.contains(Entry.Id);
  });
}

std::string encodeOwnersRecord(const OwnersRecord &Record) {
  Json::Value Root;
  Root["v"] = FormatVersion;
  Root["nonce"] = toHex(Record.Nonce);
  Root["owners"] = Json::Value(Json::arrayValue);
  std::unordered_map<base::DaemonId, Json::Value::UInt> Index;
  for (const OwnerEntry &Entry : Record.Owners) {
    Index.emplace(Entry.Id, Root["owners"].size());
    Json::Value Item(Json::arrayValue);
    Item.append(toHex(Entry.Id.Value));
    Item.append(Json::Value::UInt64{Entry.WriteNumber});
    Item.append(toHex(Entry.ArbiterListHash));
    Root["owners"].append(Item);
  }
  Json::Value &Buckets = Root["buckets"] = Json::Value(Json::arrayValue);
  for (const BucketEntry &Entry : Record.Buckets) {
    Json::Value Item(Json::arrayValue);
    Item.append(Json::Value::UInt64{Entry.OwnerEpoch});
    if (Entry.OwnerEpoch != 0) {
      const auto It = Index.find(Entry.Owner);
      CHECK(It != Index.end()) << "owner of a bucket has no entry in Owners";
      Item.append(It->second);
    }
    Buckets.append(Item);
  }
  return base::compactJson(Root);
}

base::Result<OwnersRecord> decodeOwnersRecord(std::string_view Text) {
  const auto Document = base::JsonDocument::parse(Text, "owners record");
  if (Document.has_error())
    return corrupt("not JSON: " + Document.error().Message);
  const Json::Value &Root = Document.value().root();
  if (!Root.isObject() || !Root["v"].isInt() ||
      Root["v"].asInt() != FormatVersion)
    return corrupt("unknown format version");
  const auto Nonce = fromHex(Root["nonce"]);
  OwnersRecord Record;
  if (!Nonce || !decodeOwners(Root["owners"], Record) ||
      !decodeBuckets(Root["buckets"], Record))
    return corrupt("malformed field");
  Record.Nonce = *Nonce;
  return Record;
}

} // namespace burdockstream::ownership
