// Stand-in for an etcd store: an in-memory HTTP server for the subset of the
// etcd v3 JSON gateway that burdockstream uses, with fault injection.
#ifndef BURDOCKSTREAM_TESTING_STORESTANDIN_H
#define BURDOCKSTREAM_TESTING_STORESTANDIN_H

#include "burdockstream/http/HttpServer.h"
#include "burdockstream/store/StoreClient.h"

#include <glib.h>
#include <json/value.h>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace burdockstream::testing {

enum class StoreFault {
  None,
  Refuse,       // answers with HTTP 503 and does not apply the request
  Disconnect,   // closes the connection and does not apply the request
  DropResponse, // applies the request, then closes the connection without a
                // response
};

class StoreStandIn {
public:
  // Serves on the default main context. Thread safety: loop thread only.
  StoreStandIn();
  ~StoreStandIn();
  StoreStandIn(const StoreStandIn &) = delete;
  StoreStandIn &operator=(const StoreStandIn &) = delete;

  // Starts the server. In addition to the paths of the gateway it serves POST
  // /control, which accepts {"fault": name, "delay_ms": n} and returns the
  // counters. Returns an error if the address cannot be bound. Thread safety:
  // loop thread only.
  base::Result<void> listen(base::SocketAddress Address);

  // Sets the fault to inject and the delay before each later request is
  // processed. Refuse and Disconnect also close all open watches. Thread
  // safety: loop thread only.
  void setFault(StoreFault NewFault, std::chrono::milliseconds NewDelay);

private:
  struct Entry {
    std::string Value;
    base::Revision ModRevision = 0;
    store::LeaseId Lease = store::NoLease;
  };
  struct Change {
    bool Deleted = false;
    store::KeyValue Entry;
  };
  struct Lease {
    gint64 TtlSeconds = 0;
    gint64 ExpiresAt = 0; // as g_get_monotonic_time(), in microseconds
  };
  struct Watcher {
    std::string Begin;
    std::string End;
    std::shared_ptr<http::Responder> Out;
  };
  struct DelayedRequest;

  void receive(const http::ServerRequest &Request,
               const std::shared_ptr<http::Responder> &Out);
  void process(const http::ServerRequest &Request,
               const std::shared_ptr<http::Responder> &Out);
  void control(const Json::Value &Body,
               const std::shared_ptr<http::Responder> &Out);
  Json::Value execute(const std::string &Path, const Json::Value &Body);
  Json::Value range(const Json::Value &Body) const;
  Json::Value put(const Json::Value &Body);
  Json::Value transaction(const Json::Value &Body);
  Json::Value grantLease(const Json::Value &Body);
  Json::Value keepAlive(const Json::Value &Body);
  Json::Value header() const;
  bool matches(const Json::Value &Compare) const;
  void openWatch(const Json::Value &Body,
                 const std::shared_ptr<http::Responder> &Out);
  void recordChange(const Change &NewChange);
  void expireLeases();
  void closeWatches();
  static gboolean onLeaseTimer(gpointer Data);
  static gboolean onDelayedRequest(gpointer Data);

  // Delayed requests hold a weak pointer to this, so that they detect that the
  // stand-in was destroyed.
  std::shared_ptr<StoreStandIn *> SelfReference =
      std::make_shared<StoreStandIn *>(this);
  http::HttpServer Server;
  StoreFault Fault = StoreFault::None;
  std::chrono::milliseconds Delay{0};
  base::Revision CurrentRevision = 1;
  store::LeaseId NextLease = 1;
  std::map<std::string, Entry> Entries;
  std::map<store::LeaseId, Lease> Leases;
  std::vector<Change> History;
  std::list<Watcher> Watchers;
  uint64_t ReadCount = 0;
  uint64_t WriteCount = 0;
  guint LeaseTimer = 0;
};

} // namespace burdockstream::testing

#endif
