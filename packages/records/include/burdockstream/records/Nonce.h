// Generates and checks record nonces. The nonce identifies the write that
// produced a version of a record, so that the outcome of a write whose response
// was lost can be determined by reading the record back.
#ifndef BURDOCKSTREAM_RECORDS_NONCE_H
#define BURDOCKSTREAM_RECORDS_NONCE_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/records/ServiceConfig.h"

#include <string>
#include <string_view>

namespace burdockstream::records {

// Length of a nonce in characters. 32 digits hold 128 random bits, which makes
// collisions between writers negligible.
inline constexpr size_t NonceDigits = 32;

// Returns a random nonce of NonceDigits lower-case hexadecimal digits.
// Precondition: each process seeds its Source differently. Thread safety: that
// of Source.
std::string makeNonce(base::RandomSource &Source);

// Returns whether Text has the form that makeNonce() generates. Thread safety:
// any thread.
bool isNonce(std::string_view Text);

enum class WriteOutcome {
  // The store has the record that was written.
  Applied,
  // The store still has the previous record. The write may yet arrive;
  // repeating it with the same nonce and expected revision is safe.
  Unchanged,
  // The store has a record of another writer: the write was rejected, or it was
  // applied and then overwritten.
  Replaced,
};

// Determines the outcome of a compare-and-swap whose response was lost. Current
// is the record as read back, or nullptr if there is none. ExpectedRevision is
// the revision that the write was conditional on, 0 for "does not exist".
// WriterNonce is the nonce of the write; with an empty one the outcome is never
// Applied. Thread safety: any thread.
WriteOutcome resolveWrite(const ServiceConfig *Current,
                          base::Revision ExpectedRevision,
                          std::string_view WriterNonce);

} // namespace burdockstream::records

#endif
