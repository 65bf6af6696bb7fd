// Client of the platform's key-value store through the etcd v3 JSON gateway:
// reads, compare-and-swap, leases and watches. All calls are asynchronous on
// the GLib loop.
#ifndef BURDOCKSTREAM_STORE_STORECLIENT_H
#define BURDOCKSTREAM_STORE_STORECLIENT_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/http/HttpClient.h"
#include "burdockstream/store/Store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockstream::store {

struct CasRequest {
  std::string Key;
  std::string Value;
  base::Revision ExpectedRevision = 0; // 0: the key must be absent
  LeaseId Lease = NoLease;
};

// The result of a compare-and-swap that the store has processed. If it failed,
// Current is the key's present value, or empty if the key is absent.
struct CasReply {
  bool Succeeded = false;
  base::Revision StoreRevision = 0;
  std::optional<KeyValue> Current;
};

using CasCallback = std::function<void(base::Result<CasReply>)>;

class StoreClient : public Store {
public:
  // Each call goes to the selected endpoint; a failure selects the next one for
  // later calls. A call fails if it has no answer after InitTimeout, or one
  // that stops arriving for that long. Precondition: InitEndpoints is not
  // empty.
  StoreClient(std::vector<base::SocketAddress> InitEndpoints,
              base::Duration InitTimeout);

  // Reads one key. Thread safety: loop thread only.
  void readKey(const std::string &Key, RangeCallback Callback) override;

  // Reads all keys that start with Prefix. Thread safety: loop thread only.
  void readPrefix(const std::string &Prefix, RangeCallback Callback) override;

  // Thread safety: loop thread only.
  void put(const PutRequest &Request, PutCallback Callback) override;

  // Writes a key if its revision is the expected one. A revision mismatch is a
  // CasReply, not an error. If the key already holds exactly the requested
  // value, an earlier attempt has taken effect and the reply reports success.
  // Precondition: each write has a distinct value, for example by a nonce.
  // Thread safety: loop thread only.
  void compareAndSwap(const CasRequest &Request, CasCallback Callback);

  // Requests a new lease. Thread safety: loop thread only.
  void grantLease(std::chrono::seconds Ttl, LeaseCallback Callback) override;

  // Extends a lease. Errors: NotFound if the lease has expired.
  // Thread safety: loop thread only.
  void keepAlive(LeaseId Lease, LeaseCallback Callback) override;

  // Ends a lease and removes its keys. Thread safety: loop thread only.
  void endLease(LeaseId Lease, DoneCallback Callback) override;

  // Opens a watch, which lasts until the returned object is destroyed or OnEnd
  // is called. Thread safety: loop thread only.
  std::unique_ptr<Watch> watch(const WatchRequest &Request,
                               WatchCallback OnEvent,
                               WatchEndCallback OnEnd) override;

  const CallCounters &counters() const override { return Counters; }

private:
  void call(const std::string &Path, const Json::Value &Body,
            http::JsonCallback Callback);
  void range(const Json::Value &Body, RangeCallback Callback);
  std::string url(const std::string &Path) const;
  void countFailure();

  std::vector<base::SocketAddress> Endpoints;
  base::Duration Timeout;
  size_t Selected = 0;
  CallCounters Counters;
  http::HttpClient Client;
};

} // namespace burdockstream::store

#endif
