// What burdockstream needs of a key-value store, whichever product serves it.
// All calls are asynchronous on the GLib loop. An error of kind Unavailable
// means that nothing was done; OutcomeUnknown, that it may have been.
#ifndef BURDOCKSTREAM_STORE_STORE_H
#define BURDOCKSTREAM_STORE_STORE_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/http/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>
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

// Writes a key; with a lease, the key is removed when the lease ends.
struct PutRequest {
  std::string Key;
  std::string Value;
  LeaseId Lease = NoLease;
};

struct LeaseReply {
  LeaseId Lease = NoLease;
  std::chrono::seconds Ttl{0};
};

struct WatchEvent {
  bool Deleted = false;
  KeyValue Entry;
};

// How often a watch calls the store, where it is a chain of calls that are paid
// one by one. Each hook is asked anew each time and may be empty.
struct WatchPacing {
  // Events of this time after an event may come together.
  std::function<base::Duration()> Pause = {};
  // How long the store may hold a call without an event.
  std::function<base::Duration()> Wait = {};
};

struct WatchRequest {
  std::string Prefix;
  base::Revision StartRevision = 0; // 0: from now on
  WatchPacing Pacing = {};
};

// An open watch, which ends with the object. Thread safety: loop thread only.
class Watch {
public:
  virtual ~Watch() = default;

  // Calls Done once all changes that were made before this call have been
  // reported. Done is not called if the watch ends before.
  virtual void catchUp(std::function<void()> Done) = 0;
};

// Counts of calls as the store's rate limits count them.
struct CallCounters {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Failures = 0;
};

// Sets one gauge for each counter. Thread safety: loop thread only.
void exportCounters(base::Metrics &Registry, const CallCounters &Counters);

using RangeCallback = std::function<void(base::Result<RangeReply>)>;
using LeaseCallback = std::function<void(base::Result<LeaseReply>)>;
using DoneCallback = std::function<void(base::Result<void>)>;

// Returns a callback that passes on whether a call succeeded, without its
// answer. Thread safety: any thread.
http::JsonCallback toDone(DoneCallback Callback);

using WatchCallback = std::function<void(const WatchEvent &)>;
using WatchEndCallback = std::function<void(base::Error)>;

// Thread safety, for all methods: loop thread only.
class Store {
public:
  virtual ~Store() = default;

  virtual void readKey(const std::string &Key, RangeCallback Callback) = 0;

  // Reads all keys that start with Prefix. Changes after the reply's revision
  // may be missing or present.
  virtual void readPrefix(const std::string &Prefix,
                          RangeCallback Callback) = 0;

  // Writes a key whatever it holds.
  virtual void put(const PutRequest &Request, DoneCallback Callback) = 0;

  virtual void grantLease(std::chrono::seconds Ttl, LeaseCallback Callback) = 0;

  // Extends a lease. A lease that has lapsed is an error of kind NotFound.
  virtual void keepAlive(LeaseId Lease, LeaseCallback Callback) = 0;

  // Ends a lease; its keys are removed.
  virtual void endLease(LeaseId Lease, DoneCallback Callback) = 0;

  // Opens a watch, which lasts until the returned object is destroyed or OnEnd
  // is called. An error of kind NotFound at its end means that the history
  // since StartRevision is gone.
  virtual std::unique_ptr<Watch> watch(const WatchRequest &Request,
                                       WatchCallback OnEvent,
                                       WatchEndCallback OnEnd) = 0;

  virtual const CallCounters &counters() const = 0;
};

} // namespace burdockstream::store

#endif
