#include "burdockstream/coap/CoapMessage.h"

#include <coap3/coap.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace burdockstream::coap {

namespace {

std::string percentEncode(std::string_view Item, char Separator) {
  std::string Text;
  for (const char Character : Item) {
    if (Character == '%')
      Text += "%25";
    else if (Character == Separator)
      Text += Separator == '/' ? "%2F" : "%26";
    else
      Text += Character;
  }
  return Text;
}

std::string percentDecode(std::string_view Text) {
  std::string Item;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Value = 0;
    const bool Encoded = Text[Index] == '%' && Index + 2 < Text.size() &&
                         std::from_chars(Text.data() + Index + 1,
                                         Text.data() + Index + 3, Value, 16)
                                 .ptr == Text.data() + Index + 3;
    Item += Encoded ? static_cast<char>(Value) : Text[Index];
    if (Encoded)
      Index += 2;
  }
  return Item;
}

std::vector<std::string> splitItems(std::string_view Text, char Separator) {
  std::vector<std::string> Items;
  while (true) {
    const size_t End = Text.find(Separator);
    Items.push_back(percentDecode(Text.substr(0, End)));
    if (End == std::string_view::npos)
      return Items;
    Text.remove_prefix(End + 1);
  }
}

} // namespace

bool isRequest(Code Value) {
  return Value != Code::Empty && static_cast<uint8_t>(Value) < 0x20;
}

bool isResponse(Code Value) {
  const int Class = static_cast<uint8_t>(Value) >> 5;
  return Class == 2 || Class == 4 || Class == 5;
}

std::string toString(Code Value) {
  const int Number = static_cast<uint8_t>(Value);
  const int Detail = Number & 0x1f;
  return std::to_string(Number >> 5) + (Detail < 10 ? ".0" : ".") +
         std::to_string(Detail);
}

std::string joinPath(const std::vector<std::string> &Segments) {
  std::string Text;
  for (const std::string &Segment : Segments)
    Text += "/" + percentEncode(Segment, '/');
  return Text.empty() ? "/" : Text;
}

std::vector<std::string> splitPath(std::string_view Text) {
  if (!Text.empty() && Text.front() == '/')
    Text.remove_prefix(1);
  return Text.empty() ? std::vector<std::string>{} : splitItems(Text, '/');
}

std::string joinQuery(const std::vector<std::string> &Items) {
  std::string Text;
  for (const std::string &Item : Items)
    Text += (Text.empty() ? "" : "&") + percentEncode(Item, '&');
  return Text;
}

std::vector<std::string> splitQuery(std::string_view Text) {
  return Text.empty() ? std::vector<std::string>{} : splitItems(Text, '&');
}

std::optional<std::string> queryValue(const CoapMessage &Message,
                                      std::string_view Name) {
  for (const std::string &Item : Message.Query)
    if (Item.size() > Name.size() && Item[Name.size()] == '=' &&
        Item.starts_with(Name))
      return Item.substr(Name.size() + 1);
  return std::nullopt;
}

std::optional<uint16_t> unsupportedCriticalOption(const CoapMessage &Message) {
  static constexpr std::array<uint16_t, 5> EndpointOptions = {
      COAP_OPTION_IF_MATCH, COAP_OPTION_URI_HOST, COAP_OPTION_IF_NONE_MATCH,
      COAP_OPTION_URI_PORT, COAP_OPTION_ACCEPT};
  for (const RawOption &Option : Message.OtherOptions)
    if (Option.Number % 2 == 1 &&
        std::ranges::find(EndpointOptions, Option.Number) ==
            EndpointOptions.end())
      return Option.Number;
  return std::nullopt;
}

} // namespace burdockstream::coap
