// Tables that pair the values of an enumeration with their stable external
// names.
#ifndef BURDOCKSTREAM_BASE_NAMETABLE_H
#define BURDOCKSTREAM_BASE_NAMETABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockstream::base {

template <typename EnumT> struct NameEntry {
  EnumT Value;
  std::string_view Name;
};

template <typename EnumT, size_t N> class NameTable {
public:
  constexpr explicit NameTable(std::array<NameEntry<EnumT>, N> InitEntries)
      : Entries(InitEntries) {}

  // Returns the name of Value, or "unknown". Thread safety: any thread.
  constexpr std::string_view name(EnumT Value) const {
    for (const auto &Entry : Entries)
      if (Entry.Value == Value)
        return Entry.Name;
    return "unknown";
  }

  // Returns the value called Name, if there is one. Thread safety: any thread.
  constexpr std::optional<EnumT> value(std::string_view Name) const {
    for (const auto &Entry : Entries)
      if (Entry.Name == Name)
        return Entry.Value;
    return std::nullopt;
  }

  constexpr const std::array<NameEntry<EnumT>, N> &entries() const {
    return Entries;
  }

private:
  std::array<NameEntry<EnumT>, N> Entries;
};

} // namespace burdockstream::base

#endif
