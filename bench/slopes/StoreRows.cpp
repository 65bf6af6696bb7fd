#include "Row.h"

namespace burdockstream::bench {

namespace {

Row storeCallsRow(const char *Event, double Reads, double Writes) {
  return {std::string("store calls: ") + Event,
          "calls",
          "1: reads, 2: writes (from the code)",
          {{1, Reads}, {2, Writes}}};
}

} // namespace

void addStoreRows(Rows &Out) {
  // RecordWriter reads all records by prefix and then does one
  // compare-and-swap.
  Out.push_back(storeCallsRow("record write", 1, 1));
  // OwnersRecordClient: the claimant reads the owners record and then does one
  // compare-and-swap for all buckets that it takes from that owner.
  Out.push_back(storeCallsRow("claim, per claimant", 1, 1));
  // BucketChanges: the new owner reads the owners record once and then does one
  // compare-and-swap.
  Out.push_back(storeCallsRow("handover, per receiving agent", 1, 1));
  // WatcherElection renews its lease of 10 s every third of that time.
  Out.push_back(storeCallsRow("watcher, per 10 s", 0, 3));
  // WatcherElection reads the keys, gets a lease and creates its key;
  // RecordWatch then reads all records once.
  Out.push_back(storeCallsRow("watcher election", 2, 2));
}

} // namespace burdockstream::bench
