#include "burdockstream/store/Base64.h"

#include <glib.h>

namespace burdockstream::store {

std::string encodeBase64(const std::string &Plain) {
  gchar *Encoded = g_base64_encode(
      reinterpret_cast<const guchar *>(Plain.data()), Plain.size());
  std::string Text(Encoded);
  g_free(Encoded);
  return Text;
}

std::string decodeBase64(const std::string &Encoded) {
  if (Encoded.empty())
    return {};
  gsize Size = 0;
  guchar *Plain = g_base64_decode(Encoded.c_str(), &Size);
  std::string Text(reinterpret_cast<const char *>(Plain), Size);
  g_free(Plain);
  return Text;
}

} // namespace burdockstream::store
