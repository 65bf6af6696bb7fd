// Interface of a key-value store, independent of the product that serves it.
// All calls are asynchronous on the GLib main loop. An error of kind
// Unavailable means that the call had no effect, OutcomeUnknown that it may
// have taken effect. Revisions are ordered across the eras of the store, see
// base/StoreEra.h.
#ifndef BURDOCKSTREAM_STORE_STORE_H
#define BURDOCKSTREAM_STORE_STORE_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/base/StoreEra.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/http/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockstream::store {

using LeaseId = int64_t;

inline constexpr LeaseId NoLease = 0;

struct KeyValue {
  std::string Key;
  std::string Value;
  base::Revision ModRevision = 0;
};

struct RangeReply {
  base::Revision StoreRevision = 0;
  std::vector<KeyValue> Values;
};

// A write of one key. With a lease, the store removes the key when the lease
// ends.
struct PutRequest {
  std::string Key;
  std::string Value;
  LeaseId Lease = NoLease;
  // If set, the key is written only if its last change has this revision, or is
  // absent if it is 0. A call without an answer may be executed seconds later;
  // without a condition it would overwrite what was written since.
  std::optional<base::Revision> ExpectedRevision = {};
};

// The result of a write that the store has processed.
struct PutReply {
  bool Written = false;
  base::Revision Revision = 0; // of the write; 0 if the store does not name it
  // If not Written: the key in its present state, or nothing if it is absent.
  std::optional<KeyValue> Current = {};
};

struct LeaseReply {
  LeaseId Lease = NoLease;
  std::chrono::seconds Ttl{0};
};

struct WatchEvent {
  bool Deleted = false;
  KeyValue Entry;
};

// Limits the calls of a watch that polls a store whose calls are billed one by
// one. Each function is evaluated before each call and may be empty.
struct WatchPacing {
  // Delay after an event during which further events may be collected, to be
  // delivered together.
  std::function<base::Duration()> Pause = {};
  // Longest time for which the store may hold a call open without an event.
  std::function<base::Duration()> Wait = {};
};

struct WatchRequest {
  std::string Prefix;
  base::Revision StartRevision = 0; // 0: only changes from now on
  WatchPacing Pacing = {};
};

// An open watch. Destroying it ends the watch. Thread safety: loop thread only.
class Watch {
public:
  virtual ~Watch() = default;

  // Calls Done once an answer of the store, to a call that was sent after this
  // one, shows that all changes made before have been delivered. Done is not
  // called if the watch ends first, or if the store has no call that shows it.
  virtual void catchUp(std::function<void()> Done) = 0;
};

// Numbers of calls, counted in the way of the store's rate limits.
struct CallCounters {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Failures = 0;
};

// Sets one gauge for each counter. Thread safety: loop thread only.
void exportCounters(base::Metrics &Registry, const CallCounters &Counters);

using RangeCallback = std::function<void(base::Result<RangeReply>)>;
using PutCallback = std::function<void(base::Result<PutReply>)>;
using LeaseCallback = std::function<void(base::Result<LeaseReply>)>;
using DoneCallback = std::function<void(base::Result<void>)>;

// Returns a callback that forwards success or the error to Callback and
// discards the response. Thread safety: any thread.
http::JsonCallback toDone(DoneCallback Callback);

using WatchCallback = std::function<void(const WatchEvent &)>;
using WatchEndCallback = std::function<void(base::Error)>;

// Thread safety, for all methods: loop thread only.
class Store {
public:
  virtual ~Store() = default;

  virtual void readKey(const std::string &Key, RangeCallback Callback) = 0;

  // Reads all keys that start with Prefix. The reply may include some of the
  // changes after its StoreRevision.
  virtual void readPrefix(const std::string &Prefix,
                          RangeCallback Callback) = 0;

  // Writes a key. A revision that is not the expected one is no error. Errors:
  // NotFound if the lease has ended.
  virtual void put(const PutRequest &Request, PutCallback Callback) = 0;

  virtual void grantLease(std::chrono::seconds Ttl, LeaseCallback Callback) = 0;

  // Extends a lease. Errors: NotFound if the lease has expired.
  virtual void keepAlive(LeaseId Lease, LeaseCallback Callback) = 0;

  // Ends a lease and removes its keys.
  virtual void endLease(LeaseId Lease, DoneCallback Callback) = 0;

  // Opens a watch, which lasts until the returned object is destroyed or OnEnd
  // is called. OnEnd receives NotFound if the store no longer has the history
  // since StartRevision, or has returned from an older copy.
  virtual std::unique_ptr<Watch> watch(const WatchRequest &Request,
                                       WatchCallback OnEvent,
                                       WatchEndCallback OnEnd) = 0;

  virtual const CallCounters &counters() const = 0;

  // Returns the latest era that an answer has named. During the callback of a
  // call, this includes the call's own answer. A lease belongs to the era in
  // which it was granted; a later one may give its number to another process.
  virtual base::Era era() const { return base::FirstEra; }

  // Returns whether an answer of the store that takes long arrives at the
  // moment. Thread safety: loop thread only.
  virtual bool isReceiving() const { return false; }
};

} // namespace burdockstream::store

#endif
