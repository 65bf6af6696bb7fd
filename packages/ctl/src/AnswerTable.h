// Tables out of answers of the administration API.
#ifndef BURDOCKSTREAM_CTL_SRC_ANSWERTABLE_H
#define BURDOCKSTREAM_CTL_SRC_ANSWERTABLE_H

#include "burdockstream/ctl/Run.h"

#include <string>
#include <vector>

namespace burdockstream::ctl::detail {

// Returns the error of an answer that another version of the daemon gave.
// Thread safety: any thread.
base::Error unknownForm(const std::string &Method);

// Calls Method and checks that its result is an object whose field List is an
// array of objects. Thread safety: one thread at a time.
admin::RpcResult callForList(const Hooks &Hooks, const std::string &Method,
                             const Json::Value &Parameters,
                             const std::string &List);

// Returns one row for each object of List. Precondition: List was checked by
// callForList(). Thread safety: any thread.
Table rowsOf(const std::vector<std::string> &Columns, const Json::Value &List);

// Returns the output of a command that printed Table. Thread safety: any
// thread.
Output success(const Table &Table, const Command &Command);

} // namespace burdockstream::ctl::detail

#endif
