// A stand-in of the platform's metadata store, written from its published
// protocol: items, ranges, watches, transactions and leases over HTTP, and the
// ways in which the store fails.
#ifndef BURDOCKSTREAM_TESTING_PLATFORMSTORESTANDIN_H
#define BURDOCKSTREAM_TESTING_PLATFORMSTORESTANDIN_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/http/HttpServer.h"

#include <cstdint>
#include <glib.h>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockstream::testing {

enum class StoreFault : uint8_t {
  None,
  Busy,       // 503, nothing is done
  Many,       // 429
  Reset,      // connections are closed without an answer
  Silent,     // no answer comes
  Malformed,  // answers are JSON, but not of the documented form
  LostAnswer, // writes are done, but not answered
  InvalidEra, // answers name an era that is not a number
};

// Thread safety, for all methods: loop thread only.
class PlatformStoreStandIn {
public:
  PlatformStoreStandIn();
  ~PlatformStoreStandIn();
  PlatformStoreStandIn(const PlatformStoreStandIn &) = delete;
  PlatformStoreStandIn &operator=(const PlatformStoreStandIn &) = delete;

  base::Result<void> listen(base::SocketAddress Address);

  // Starts the store's counter at Revision. Precondition: nothing was written.
  void startAt(int64_t Revision) { Current.Revision = Revision; }

  // Writes as the operator does.
  int64_t put(const std::string &Key, const std::string &Value);
  // Removes a key as the operator does.
  void remove(const std::string &Key);
  // Removes all keys with Prefix without any request showing it.
  void revoke(const std::string &Prefix);
  // Drops the history, so that watches from before end with 410.
  void compact();
  // Ends all leases now.
  void lapse();
  // Takes the copy that restore() returns from.
  void copy();
  // Returns from the copy, as a new history: revisions and leases are given out
  // again, and waiting watches are cut. What the operator wrote since is
  // written again by rewriteOperatorChanges(). Precondition: copy() was called.
  void restore();
  void rewriteOperatorChanges();

  void setFault(StoreFault Kind);

  // Sends Body in place of the next answer to Path.
  void answerNext(const std::string &Path, const std::string &Body);

  // Keeps the next answer with events to a watch of Prefix back until
  // sendHeldAnswers(); its connection stays open. Other calls are served.
  void holdNextWatchAnswer(const std::string &Prefix);
  void sendHeldAnswers();

  // Gives the next write of Key no answer, and does not execute it before
  // executeDelayedWrites(), if its condition still holds then.
  void delayNextWrite(const std::string &Key) { DelayedKey = Key; }
  void executeDelayedWrites();
  size_t delayedWrites() const { return DelayedWrites.size(); }

  bool has(const std::string &Key) const {
    return Current.Items.count(Key) != 0;
  }
  std::string value(const std::string &Key) const;
  uint64_t calls(const std::string &Path) const;
  // Number of watch calls that named a revision which does not exist yet.
  uint64_t watchesAhead() const { return WatchesAhead; }

private:
  struct Item {
    std::string Value;
    int64_t Revision = 0;
    int64_t Created = 0;
    int64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    int64_t Revision = 0;
    bool Deleted = false;
    Item Written; // as it was written, unless Deleted
  };
  struct Lease {
    int64_t TtlMs = 0;
    int64_t EndsAtMs = 0;
  };
  // What a copy of the store holds.
  struct Contents {
    std::map<std::string, Item> Items;
    std::map<int64_t, Lease> Leases;
    std::vector<Event> History;
    int64_t Revision = 10;
    int64_t Compacted = 0; // history up to here is gone
    int64_t NextLease = 100;
  };
  struct OperatorChange {
    std::string Key;
    std::optional<std::string> Value; // nothing: removed
  };
  struct Watcher {
    std::string Prefix;
    int64_t After = 0;
    int64_t EndsAtMs = 0;
    std::shared_ptr<http::Responder> Out;
  };

  void onRequest(const http::ServerRequest &Request,
                 const std::shared_ptr<http::Responder> &Out);
  bool delays(const http::ServerRequest &Request);
  bool fails(const http::ServerRequest &Request,
             const std::shared_ptr<http::Responder> &Out);
  http::ServerAnswer readKey(const std::string &Key) const;
  http::ServerAnswer readRange(const std::string &Prefix,
                               const std::string &After) const;
  http::ServerAnswer transact(const std::string &Body);
  http::ServerAnswer grant(const std::string &Body);
  http::ServerAnswer keep(int64_t Id);
  http::ServerAnswer end(int64_t Id);
  void write(const std::string &Key, const std::string &Value, int64_t Lease);
  void erase(const std::string &Key);
  void endLease(int64_t Id);
  Json::Value toJson(const std::string &Key, const Item &Value) const;
  void reply(const std::shared_ptr<http::Responder> &Out,
             http::ServerAnswer Answer) const;
  bool answerWatch(const Watcher &Waiting);
  void serveWatches();
  void tick();

  http::HttpServer Server;
  Contents Current;
  Contents Copied;
  int64_t Era = 1;
  // Since the copy.
  std::vector<OperatorChange> OperatorChanges;
  std::vector<Watcher> Watchers;
  std::vector<std::shared_ptr<http::Responder>> Unanswered;
  std::map<std::string, std::string> NextAnswers; // by path
  std::optional<std::string> DelayedKey;          // see delayNextWrite()
  std::vector<std::string> DelayedWrites;         // bodies
  std::optional<std::string> HeldPrefix;          // see holdNextWatchAnswer()
  std::vector<std::pair<std::shared_ptr<http::Responder>, http::ServerAnswer>>
      HeldAnswers;
  std::map<std::string, uint64_t> Calls;
  uint64_t WatchesAhead = 0;
  StoreFault Fault = StoreFault::None;
  guint Timer = 0;
};

} // namespace burdockstream::testing

#endif
