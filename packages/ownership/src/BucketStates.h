// States and events of a bucket as seen by one agent. The transitions are
// defined in charts/bucket.json.
#ifndef BURDOCKSTREAM_OWNERSHIP_SRC_BUCKETSTATES_H
#define BURDOCKSTREAM_OWNERSHIP_SRC_BUCKETSTATES_H

#include "burdockstream/base/NameTable.h"

#include <cstdint>

namespace burdockstream::ownership::internal {

enum class BucketState : uint8_t { Foreign, Imported, Held, HandingOver };

enum class BucketEvent : uint8_t {
  SnapshotAccepted,
  RecordNamesSelf,
  RecordNamesOther,
  HandoverStarted,
  SnapshotDiscarded,
  HandoverRefused
};

inline constexpr base::NameTable<BucketState, 4> BucketStateNames{
    {{{BucketState::Foreign, "foreign"},
      {BucketState::Imported, "imported"},
      {BucketState::Held, "held"},
      {BucketState::HandingOver, "handing-over"}}}};

inline constexpr base::NameTable<BucketEvent, 6> BucketEventNames{
    {{{BucketEvent::SnapshotAccepted, "snapshot-accepted"},
      {BucketEvent::RecordNamesSelf, "record-names-self"},
      {BucketEvent::RecordNamesOther, "record-names-other"},
      {BucketEvent::HandoverStarted, "handover-started"},
      {BucketEvent::SnapshotDiscarded, "snapshot-discarded"},
      {BucketEvent::HandoverRefused, "handover-refused"}}}};

// Returns the state that follows State after Event. Precondition: the chart has
// a transition for Event in State; otherwise the process is terminated. Thread
// safety: any thread.
BucketState next(BucketState State, BucketEvent Event);

} // namespace burdockstream::ownership::internal

#endif
