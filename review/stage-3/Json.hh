// JSON values, a reader for the bodies that the daemons send, and base64.
#ifndef STAGE_JSON_HH
#define STAGE_JSON_HH

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <vector>

namespace stage {

struct Json {
  enum class Kind { Null, Bool, Number, Text, List, Object } Type = Kind::Null;
  int64_t Number = 0; // also a bool
  std::string Text;
  std::vector<Json> Items;
  std::map<std::string, Json> Fields;

  const Json &operator[](const std::string &Name) const {
    static const Json Missing;
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? Missing : Found->second;
  }
};

class JsonReader {
public:
  static Json read(const std::string &Text) {
    JsonReader Reader(Text);
    return Reader.value();
  }

private:
  explicit JsonReader(const std::string &InitText) : Text(InitText) {}
  void skip() {
    while (At < Text.size() &&
           std::string(" \t\r\n,:").find(Text[At]) != std::string::npos)
      ++At;
  }
  Json value() {
    skip();
    Json Result;
    if (At >= Text.size())
      return Result;
    const char First = Text[At];
    if (First == '{') {
      Result.Type = Json::Kind::Object;
      for (++At, skip(); At < Text.size() && Text[At] != '}'; skip()) {
        const std::string Name = value().Text;
        Result.Fields[Name] = value();
      }
      ++At;
    } else if (First == '[') {
      Result.Type = Json::Kind::List;
      for (++At, skip(); At < Text.size() && Text[At] != ']'; skip())
        Result.Items.push_back(value());
      ++At;
    } else if (First == '"') {
      Result.Type = Json::Kind::Text;
      for (++At; At < Text.size() && Text[At] != '"'; ++At) {
        if (Text[At] == '\\')
          ++At; // the daemons escape quotes, slashes and backslashes only
        Result.Text += Text[At];
      }
      ++At;
    } else {
      const size_t End = Text.find_first_of(" \t\r\n,:]}", At);
      const std::string Word = Text.substr(At, End - At);
      At = End == std::string::npos ? Text.size() : End;
      if (Word == "true" || Word == "false") {
        Result.Type = Json::Kind::Bool;
        Result.Number = Word == "true";
      } else if (Word != "null") {
        Result.Type = Json::Kind::Number;
        Result.Number = std::strtoll(Word.c_str(), nullptr, 10);
      }
    }
    return Result;
  }

  const std::string &Text;
  size_t At = 0;
};

inline std::string quoted(const std::string &Text) {
  std::string Result = "\"";
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Result += '\\';
    Result += C;
  }
  return Result + "\"";
}

inline constexpr char Base64Digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string toBase64(const std::string &Data) {
  std::string Result;
  for (size_t I = 0; I < Data.size(); I += 3) {
    uint32_t Group = 0;
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Data.size() ? static_cast<uint8_t>(Data[I + J]) : 0U);
    for (size_t J = 0; J < 4; ++J)
      Result +=
          I + J <= Data.size() ? Base64Digits[Group >> (18 - 6 * J) & 63] : '=';
  }
  return Result;
}

inline std::string fromBase64(const std::string &Text) {
  std::string Result;
  uint32_t Group = 0;
  int Bits = 0;
  for (const char C : Text) {
    const char *Digit = C == '=' ? nullptr : strchr(Base64Digits, C);
    if (!Digit)
      break;
    Group = Group << 6 | static_cast<uint32_t>(Digit - Base64Digits);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Result += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Result;
}

} // namespace stage

#endif
