// The daemon of a balancer. It connects the protocol core, FlowBalancer, to the
// packets of the fabric, the frames of agents, the routes and agent entries in
// the store, the readiness check, and the state of peer balancers.
#ifndef BURDOCKSTREAM_FLOWD_BALANCERDAEMON_H
#define BURDOCKSTREAM_FLOWD_BALANCERDAEMON_H

#include "CapacityReports.h"
#include "DecisionLog.h"
#include "FlowReports.h"
#include "FrameSocket.h"
#include "burdockstream/flowd/FlowDaemon.h"
#include "burdockstream/flowd/PeerQueryPolicy.h"
#include "burdockstream/flowd/StateAnswerLimit.h"
#include "burdockstream/flowd/WatchedPrefix.h"
#include "burdockstream/flows/FlowBalancer.h"

#include <string>

namespace burdockstream::flowd {

// Thread safety, for all methods: loop thread only.
class BalancerDaemon : public FlowDaemon {
public:
  // Precondition: the role of InitSettings is Balancer. InitLog must outlive
  // the object. InitOnFinished is called when a shutdown is complete.
  BalancerDaemon(FlowSettings InitSettings, FlowEnvironment InitEnvironment,
                 EventLog &InitLog, std::function<void()> InitOnFinished);
  ~BalancerDaemon() override;

  base::Result<void> start() override;
  void applySettings(const FlowSettings &New) override;
  void beginShutdown() override;

private:
  flows::BalancerHooks coreHooks();
  WatchHooks storeHooks(const char *WatchName);
  WatchHooks routesHooks();
  WatchHooks agentsHooks();
  base::Result<void> openSockets();
  void onFrame(std::span<uint8_t> Datagram, base::SocketAddress From);
  void onRequest(const http::ServerRequest &Request, http::Responder &Out);
  // Applies the routes in Text unless routes at least as new are in force, and
  // logs the outcome.
  // Source names their origin in the log.
  void applyRoutes(const std::string &Text, base::Revision Revision,
                   const std::string &Source);
  void applyAgentEvent(const store::WatchEvent &Event);
  // Returns the failure domain that Key evacuates, if any; logs an invalid one.
  std::optional<std::string> evacuatedDomain(const std::string &Key);
  void logEvacuation(const std::string &Domain,
                     const flows::DomainEvacuation &State,
                     base::SocketAddress Source);
  void logIgnoredEvacuations(size_t Count);
  // Source has read the store in Reported. If this balancer has not, its
  // watches may wait for revisions of an earlier era: reads all keys again.
  void onEraReported(base::Era Reported, base::SocketAddress Source);
  ReportSources reports();
  void updateStoreFreshness();
  void logStoreRead(const char *WatchName, const store::RangeReply &Reply);
  void logStoreEvent(const char *Event, const char *WatchName,
                     const base::Error *Reason);
  // Queries a peer for routes or agents that this balancer lacks and the store
  // does not deliver.
  void queryPeersIfNeeded(base::TimePoint Now);
  // Queries the next peer in the settings.
  void queryNextPeer(const char *Path);
  // Queries a newly discovered peer for its agents, unless enough peers have
  // already sent theirs.
  void onPeerDiscovered(base::SocketAddress Peer);
  void queryPeer(base::SocketAddress Peer, const char *Path);
  void onPeerAnswer(base::SocketAddress Peer,
                    const base::Result<http::HttpResponse> &Response);
  // Answers a peer's query for the state, or refuses it for the moment.
  void sendState(bool WithRoutes, http::Responder &Out);
  void logPeerFailure(base::SocketAddress Peer, const std::string &Reason);
  void applyPeerState(base::SocketAddress Peer, const std::string &Body);
  std::string serializeStateForPeers(bool WithRoutes) const;
  bool isReady() const;
  void tick();

  FlowSettings Settings;
  FlowEnvironment Environment;
  EventLog &Log;
  std::function<void()> OnFinished;
  base::Metrics Registry;
  DecisionLog Decisions;
  CapacityReports Capacity;
  flows::FlowBalancer Core;
  base::RandomSource Random;
  std::unique_ptr<store::Store> Store;
  std::unique_ptr<network::UdpSocket> Ingress; // packets of the fabric
  std::unique_ptr<network::UdpSocket> Frames;  // frames of agents
  std::unique_ptr<WatchedPrefix> Routes;
  std::unique_ptr<WatchedPrefix> Agents;
  std::optional<base::Era> AgentsEra;     // of the last list of agents
  base::Era ReportedEra = base::FirstEra; // the latest that others have read
  http::HttpServer Server;
  http::HttpClient Client;
  std::string RoutesText; // of the routes in force, sent to peers
  PeerQueryPolicy PeerQueries;
  StateAnswerLimit StateAnswers;
  size_t PendingPeerQueries = 0;
  base::TimePoint StartedAt{};
  base::TimePoint NextPeerQueryAt{};
  size_t NextPeerIndex = 0; // into Settings.PeerAddresses, modulo its size
  bool Stopping = false;
  bool LastLoggedReady = false;
  guint Timer = 0;
};

} // namespace burdockstream::flowd

#endif
