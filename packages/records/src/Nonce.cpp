#include "burdockstream/records/Nonce.h"

#include <algorithm>

namespace burdockstream::records {

std::string makeNonce(base::RandomSource &Source) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  while (Text.size() < NonceDigits) {
    uint64_t Bits = Source();
    for (int I = 0; I < 16; ++I, Bits >>= 4)
      Text += Digits[Bits & 0xf];
  }
  return Text;
}

bool isNonce(std::string_view Text) {
  return Text.size() == NonceDigits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

WriteOutcome resolveWrite(const ServiceConfig *Current,
                          base::Revision ExpectedRevision,
                          std::string_view WriterNonce) {
  const base::Revision Revision = Current ? Current->StoreRevision : 0;
  if (Current && !WriterNonce.empty() && Current->Nonce == WriterNonce)
    return WriteOutcome::Applied;
  return Revision == ExpectedRevision ? WriteOutcome::Unchanged
                                      : WriteOutcome::Replaced;
}

} // namespace burdockstream::records
