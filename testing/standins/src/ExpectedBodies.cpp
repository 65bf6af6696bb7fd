#include "burdockstream/standins/ExpectedBodies.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/coap/CoapMessage.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace burdockstream::standins {

namespace {

constexpr size_t DefaultSheetBytes = 100;

std::optional<size_t> parseSize(std::string_view Text) {
  size_t Size = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Size);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return std::min(Size, coap::MaxBodySize);
}

bool isAgentParameter(std::string_view Item) {
  return Item.starts_with("rid=") || Item.starts_with("iat=") ||
         Item.starts_with("dl=") || Item.starts_with("since=");
}

} // namespace

std::string echoBody(std::string_view Service, std::string_view Path,
                     const std::vector<std::string> &Query) {
  std::vector<std::string> Kept;
  std::copy_if(Query.begin(), Query.end(), std::back_inserter(Kept),
               [](const std::string &Item) { return !isAgentParameter(Item); });
  return std::string(Service) + " " + std::string(Path) + "?" +
         coap::joinQuery(Kept);
}

std::string runBody(std::string_view Service, std::string_view Path,
                    std::string_view RequestId) {
  return std::string(Service) + " " + std::string(Path) + " run " +
         std::string(RequestId);
}

std::string sheetBody(std::string_view Service, std::string_view Name,
                      size_t Size) {
  std::string Body =
      std::string(Service) + " sheet " + std::string(Name) + "\n";
  const uint64_t Seed = base::hashBytes(Body, Size);
  for (uint64_t Line = 0; Body.size() < Size; ++Line)
    Body += std::to_string(base::hashPair(Seed, Line, 0)) + "\n";
  Body.resize(Size);
  return Body;
}

size_t sheetSize(std::string_view Name, const std::vector<std::string> &Query) {
  for (const std::string &Item : Query)
    if (Item.starts_with("size="))
      return parseSize(std::string_view(Item).substr(5))
          .value_or(DefaultSheetBytes);
  const size_t Dash = Name.rfind('-');
  if (Dash == std::string_view::npos)
    return DefaultSheetBytes;
  return parseSize(Name.substr(Dash + 1)).value_or(DefaultSheetBytes);
}

std::string boardBody(std::string_view Service, std::string_view Board,
                      uint32_t Number) {
  return std::string(Service) + " board " + std::string(Board) + " update " +
         std::to_string(Number);
}

} // namespace burdockstream::standins
