// Strong identifier types shared by all packages.
#ifndef BURDOCKSTREAM_BASE_IDS_H
#define BURDOCKSTREAM_BASE_IDS_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace burdockstream::base {

// Identifies one run of a daemon: 64 random bits drawn at start, so a VM that
// is replaced at the same address is a different daemon. Zero means "none".
struct DaemonId {
  uint64_t Value = 0;
  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const DaemonId &, const DaemonId &) = default;
};

// XXH3-64 of the service's name.
struct ServiceId {
  uint64_t Value = 0;
  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ServiceId &, const ServiceId &) = default;
};

// Index of a bucket within its service.
using BucketIndex = uint16_t;

// Generation of a bucket's ownership; it rises with every change of owner.
using Epoch = uint64_t;

// Revision that the store gives to a key when it is written. Where a store may
// return from an older copy, it is an ordered one, see StoreEra.h.
using Revision = int64_t;

// Returns the identifier of the service called Name. Thread safety: any thread.
ServiceId serviceIdOf(std::string_view Name);

// Formats the id as 16 hexadecimal digits. Thread safety: any thread.
std::string toString(DaemonId Id);

} // namespace burdockstream::base

template <> struct std::hash<burdockstream::base::DaemonId> {
  size_t operator()(burdockstream::base::DaemonId Id) const noexcept {
    return Id.Value;
  }
};
template <> struct std::hash<burdockstream::base::ServiceId> {
  size_t operator()(burdockstream::base::ServiceId Id) const noexcept {
    return Id.Value;
  }
};

#endif
