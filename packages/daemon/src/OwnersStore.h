// Reads and writes the ownership record of an agent's service in the store.
#ifndef BURDOCKSTREAM_DAEMON_OWNERSSTORE_H
#define BURDOCKSTREAM_DAEMON_OWNERSSTORE_H

#include "burdockstream/nodes/Actions.h"
#include "burdockstream/ownership/OwnershipActions.h"
#include "burdockstream/store/StoreClient.h"

#include <functional>
#include <string>

namespace burdockstream::daemon {

class OwnersStore {
public:
  using Callback = std::function<void(const ownership::StoreResult &)>;

  // InitOnResult is called asynchronously, once for each operation. InitClient
  // must outlive the object. Thread safety: loop thread only, for all methods.
  OwnersStore(store::StoreClient &InitClient, const std::string &Service,
              Callback InitOnResult);

  // Start an operation. A result whose record cannot be decoded has the outcome
  // Unknown.
  void perform(const nodes::ReadOwners &Action);
  void perform(const nodes::SwapOwners &Action);

private:
  store::StoreClient &Client;
  std::string Key;
  Callback OnResult;
};

} // namespace burdockstream::daemon

#endif
