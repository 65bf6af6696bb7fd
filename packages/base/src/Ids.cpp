#include "burdockstream/base/Ids.h"

#include "burdockstream/base/Hash.h"

#include <array>
#include <cstdio>

namespace burdockstream::base {

ServiceId serviceIdOf(std::string_view Name) {
  return ServiceId{hashBytes(Name, 0)};
}

std::string toString(DaemonId Id) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Id.Value));
  return Text.data();
}

} // namespace burdockstream::base
