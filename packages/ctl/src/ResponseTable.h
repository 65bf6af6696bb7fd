// Builds tables from responses of the administration API.
#ifndef BURDOCKSTREAM_CTL_SRC_RESPONSETABLE_H
#define BURDOCKSTREAM_CTL_SRC_RESPONSETABLE_H

#include "burdockstream/ctl/Run.h"

#include <string>
#include <vector>

namespace burdockstream::ctl::detail {

// Returns the error for a response to Method whose format is unexpected, which
// points to a balancer of another version. Thread safety: any thread.
base::Error unexpectedFormat(const std::string &Method);

// Calls Method and checks that its result is an object whose field List is an
// array of objects. Fails with Corrupt if it is not. Thread safety: one thread
// at a time.
admin::RpcResult callForList(const Hooks &Hooks, const std::string &Method,
                             const Json::Value &Parameters,
                             const std::string &List);

// Returns a table with one row per object of List. A value is null if the
// object lacks the field. Precondition: List was checked by callForList().
// Thread safety: any thread.
Table makeTable(const std::vector<std::string> &Columns,
                const Json::Value &List);

// Returns the output of a successful command that prints Table in the format of
// Command. Thread safety: any thread.
Output tableOutput(const Table &Table, const Command &Command);

} // namespace burdockstream::ctl::detail

#endif
