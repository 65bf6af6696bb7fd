#include "Row.h"

namespace burdockstream::bench {

namespace {

Row calls(const char *Event, double Reads, double Writes) {
  return {std::string("store calls: ") + Event,
          "calls",
          "1: reads, 2: writes (from the code)",
          {{1, Reads}, {2, Writes}}};
}

} // namespace

void addStoreRows(Rows &Out) {
  // RecordWriter: readPrefix of all records, then one compare-and-swap.
  Out.push_back(calls("record write", 1, 1));
  // OwnersRecordClient: the claimant reads the owners record, then swaps it
  // once for all buckets that it takes from that owner.
  Out.push_back(calls("claim, per claimant", 1, 1));
  // BucketChanges: the new owner swaps; it has read the record once before.
  Out.push_back(calls("handover, per receiving agent", 1, 1));
  // WatcherElection: a keep-alive every third of the lease of 10 s.
  Out.push_back(calls("watcher, per 10 s", 0, 3));
  // WatcherElection: read the keys, grant a lease, take the key, and
  // RecordWatch: read all records once.
  Out.push_back(calls("watcher election", 2, 2));
}

} // namespace burdockstream::bench
