// Integers in little-endian byte order, as packets and frames carry them.
#ifndef BURDOCKSTREAM_BASE_LITTLEENDIAN_H
#define BURDOCKSTREAM_BASE_LITTLEENDIAN_H

#include <cstddef>
#include <cstdint>
#include <span>

namespace burdockstream::base {

// Precondition, for both: the bytes from Offset on hold an IntegerT. Thread
// safety: any thread.

template <typename IntegerT>
void writeLittleEndian(std::span<uint8_t> Out, size_t Offset, IntegerT Value) {
  for (size_t I = 0; I < sizeof(Value); ++I)
    Out[Offset + I] =
        static_cast<uint8_t>(static_cast<uint64_t>(Value) >> (8 * I));
}

template <typename IntegerT>
IntegerT readLittleEndian(std::span<const uint8_t> In, size_t Offset) {
  uint64_t Value = 0;
  for (size_t I = 0; I < sizeof(IntegerT); ++I)
    Value |= uint64_t{In[Offset + I]} << (8 * I);
  return static_cast<IntegerT>(Value);
}

} // namespace burdockstream::base

#endif
