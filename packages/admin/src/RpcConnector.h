// Feeds requests into libjsonrpccpp's protocol handler, which checks them.
// Requests come in from the loop, one at a time. Answers of methods do not go
// through the library: it has no notion of a result that comes later, and it
// puts unrelated texts before the messages of errors in the range of codes that
// JSON-RPC reserves for applications.
#ifndef BURDOCKSTREAM_ADMIN_RPCCONNECTOR_H
#define BURDOCKSTREAM_ADMIN_RPCCONNECTOR_H

#include "burdockstream/admin/RpcMethod.h"

#include <functional>
#include <jsonrpccpp/server.h>
#include <memory>
#include <string>
#include <vector>

namespace burdockstream::admin::internal {

using AnswerCallback = std::function<void(const std::string &Body)>;

class RpcConnector : private jsonrpc::AbstractServerConnector,
                     private jsonrpc::IProcedureInvokationHandler {
public:
  explicit RpcConnector(std::vector<RpcMethod> InitMethods);

  // Processes one request body and calls Answer once, at once or later.
  void dispatch(const std::string &Body, const RpcCaller &Caller,
                AnswerCallback Answer);

private:
  // What HandleMethodCall needs to know of the request that OnRequest is
  // processing.
  struct CurrentRequest {
    RpcCaller Caller;
    Json::Value Id;
    AnswerCallback Answer;
    bool Deferred = false;
  };

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Response, void *AddInfo) override;
  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override;
  void HandleNotificationCall(jsonrpc::Procedure &Procedure,
                              const Json::Value &Input) override;
  const RpcMethod *find(const std::string &Name) const;

  std::vector<RpcMethod> Methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
  CurrentRequest *Current = nullptr;
};

} // namespace burdockstream::admin::internal

#endif
