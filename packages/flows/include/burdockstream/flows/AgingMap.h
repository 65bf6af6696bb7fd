// A map with flow keys whose entries expire when they are not used. Two
// generations replace a timer per entry: at the end of each period, all entries
// that were not used during the last complete period are dropped in one step.
#ifndef BURDOCKSTREAM_FLOWS_AGINGMAP_H
#define BURDOCKSTREAM_FLOWS_AGINGMAP_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"

#include <unordered_map>
#include <utility>

namespace burdockstream::flows {

// Not thread-safe.
template <typename ValueT> class AgingMap {
public:
  using Map = std::unordered_map<FlowKey, ValueT>;

  // Returns the entry of Key and marks it as used, or returns null. The pointer
  // is valid until the next call of a non-const method.
  ValueT *use(const FlowKey &Key) {
    if (const auto Found = Recent.find(Key); Found != Recent.end())
      return &Found->second;
    auto Old = Aged.extract(Key);
    if (Old.empty())
      return nullptr;
    return &Recent.insert(std::move(Old)).position->second;
  }

  // Returns the entry of Key, or null, without marking it as used.
  const ValueT *peek(const FlowKey &Key) const {
    for (const Map *Each : {&Recent, &Aged})
      if (const auto Found = Each->find(Key); Found != Each->end())
        return &Found->second;
    return nullptr;
  }

  // Returns the entry of Key and marks it as used. Creates it if there is none.
  ValueT &insert(const FlowKey &Key) {
    if (ValueT *Found = use(Key))
      return *Found;
    return Recent[Key];
  }

  // Removes the entry of Key and returns whether there was one.
  bool erase(const FlowKey &Key) {
    return Recent.erase(Key) + Aged.erase(Key) > 0;
  }

  // Ends a period: passes entries that were not used since the previous call to
  // OnDrop(Key, Value), then removes them. An entry therefore lives for one to
  // two periods after its last use.
  template <typename FunctionT> void age(FunctionT OnDrop) {
    for (auto &[Key, Value] : Aged)
      OnDrop(Key, Value);
    // The cleared map keeps its hash buckets, so that a map of steady size
    // neither reallocates nor rehashes.
    Aged.clear();
    std::swap(Aged, Recent);
  }

  // Calls Visit(Key, Value) for every entry, in no particular order.
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
