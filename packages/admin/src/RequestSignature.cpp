#include "burdockstream/admin/RequestSignature.h"

#include <charconv>
#include <cstdlib>
#include <glib.h>
#include <sodium/utils.h>

namespace burdockstream::admin {

namespace {

std::string digestOf(const SigningKey &Key, const std::string &Signed) {
  gchar *Hex = g_compute_hmac_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(Key.Secret.data()),
      Key.Secret.size(), reinterpret_cast<const guchar *>(Signed.data()),
      Signed.size());
  std::string Text(Hex);
  g_free(Hex);
  return Text;
}

std::string signatureOf(const SigningKey &Key, const std::string &Timestamp,
                        const std::string &Body) {
  return Key.Id + ":" + Timestamp + ":" +
         digestOf(Key, Timestamp + "\n" + Body);
}

bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         sodium_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

std::string signRequest(const SigningKey &Key, base::WallTime Time,
                        const std::string &Body) {
  return signatureOf(Key, std::to_string(Time.Milliseconds), Body);
}

bool verifyRequest(const std::vector<SigningKey> &Keys, base::WallTime Time,
                   const std::string &Signature, const std::string &Body) {
  const size_t First = Signature.find(':');
  const size_t Second = Signature.find(':', First + 1);
  if (First == std::string::npos || Second == std::string::npos)
    return false;
  const std::string Timestamp = Signature.substr(First + 1, Second - First - 1);
  int64_t Signed = 0;
  const auto Parsed = std::from_chars(
      Timestamp.data(), Timestamp.data() + Timestamp.size(), Signed);
  if (Parsed.ec != std::errc() ||
      std::llabs(Time.Milliseconds - Signed) > SignatureToleranceMilliseconds)
    return false;
  for (const SigningKey &Key : Keys)
    if (Signature.compare(0, First, Key.Id) == 0 &&
        equalInConstantTime(signatureOf(Key, Timestamp, Body), Signature))
      return true;
  return false;
}

} // namespace burdockstream::admin
