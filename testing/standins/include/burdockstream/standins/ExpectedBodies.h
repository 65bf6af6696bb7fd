// The response bodies of the endpoint stand-in. They depend on the request
// only, so the caller stand-in computes the same body and compares every byte.
#ifndef BURDOCKSTREAM_STANDINS_EXPECTEDBODIES_H
#define BURDOCKSTREAM_STANDINS_EXPECTEDBODIES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::standins {

// Returns the body of GET on a path that is neither a board nor a sheet. The
// query items rid, iat, dl and since are omitted, because they are meant for
// the agent in front of the endpoint. Thread safety: any thread.
std::string echoBody(std::string_view Service, std::string_view Path,
                     const std::vector<std::string> &Query);

// Returns the body of a POST or PUT that has run. Thread safety: any thread.
std::string runBody(std::string_view Service, std::string_view Path,
                    std::string_view RequestId);

// Returns the body of GET /sheet/NAME, of Size bytes. Thread safety: any
// thread.
std::string sheetBody(std::string_view Service, std::string_view Name,
                      size_t Size);

// Returns the size of a sheet in bytes: the query item size=N, otherwise the
// number after the last '-' of Name, otherwise 100; at most 60,000. Thread
// safety: any thread.
size_t sheetSize(std::string_view Name, const std::vector<std::string> &Query);

// Returns the body of update Number of a board; number zero is the state before
// the first update. Thread safety: any thread.
std::string boardBody(std::string_view Service, std::string_view Board,
                      uint32_t Number);

} // namespace burdockstream::standins

#endif
