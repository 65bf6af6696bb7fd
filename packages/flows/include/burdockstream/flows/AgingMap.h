// A map of flows whose entries expire when they have not been used for a while.
// Two generations replace a timer for each entry: a period's end drops what was
// not used in the last whole period, in one step.
#ifndef BURDOCKSTREAM_FLOWS_AGINGMAP_H
#define BURDOCKSTREAM_FLOWS_AGINGMAP_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"

#include <unordered_map>
#include <utility>

namespace burdockstream::flows {

// Thread safety: one thread at a time.
template <typename ValueT> class AgingMap {
public:
  using Map = std::unordered_map<FlowKey, ValueT>;

  // Returns the entry of Key and counts as its use, or null. The pointer is
  // valid until the next call.
  ValueT *use(const FlowKey &Key) {
    if (const auto Found = Recent.find(Key); Found != Recent.end())
      return &Found->second;
    auto Old = Aged.extract(Key);
    if (Old.empty())
      return nullptr;
    return &Recent.insert(std::move(Old)).position->second;
  }

  // Returns the entry of Key, or null, without counting as its use.
  const ValueT *peek(const FlowKey &Key) const {
    for (const Map *Each : {&Recent, &Aged})
      if (const auto Found = Each->find(Key); Found != Each->end())
        return &Found->second;
    return nullptr;
  }

  // Returns the entry of Key, new if there was none.
  ValueT &insert(const FlowKey &Key) {
    if (ValueT *Found = use(Key))
      return *Found;
    return Recent[Key];
  }

  // Removes the entry of Key and returns whether there was one.
  bool erase(const FlowKey &Key) {
    return Recent.erase(Key) + Aged.erase(Key) > 0;
  }

  // Ends a period: entries that were not used since the last call go to OnDrop
  // and expire. An entry lives for one to two periods after its last use.
  template <typename FunctionT> void age(FunctionT OnDrop) {
    for (auto &[Key, Value] : Aged)
      OnDrop(Key, Value);
    // The emptied map keeps its buckets, so that a map of steady size neither
    // allocates nor moves all its entries again.
    Aged.clear();
    std::swap(Aged, Recent);
  }

  template <typename FunctionT> void forEach(FunctionT Visit) {
    for (auto &[Key, Value] : Recent)
      Visit(Key, Value);
    for (auto &[Key, Value] : Aged)
      Visit(Key, Value);
  }

  void clear() {
    Recent.clear();
    Aged.clear();
  }

  size_t size() const { return Recent.size() + Aged.size(); }

private:
  Map Recent;
  Map Aged;
};

} // namespace burdockstream::flows

#endif
