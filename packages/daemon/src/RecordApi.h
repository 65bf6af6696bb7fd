// JSON-RPC methods for configuration records, which balancers serve.
#ifndef BURDOCKSTREAM_DAEMON_RECORDAPI_H
#define BURDOCKSTREAM_DAEMON_RECORDAPI_H

#include "RecordWriter.h"
#include "burdockstream/admin/RpcMethod.h"

#include <vector>

namespace burdockstream::daemon {

// Returns the methods. Writer and Records must outlive them. Thread safety:
// loop thread only.
std::vector<admin::RpcMethod> recordMethods(RecordWriter &Writer,
                                            const records::RecordSet &Records);

} // namespace burdockstream::daemon

#endif
