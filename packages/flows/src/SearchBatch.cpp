#include "burdockstream/flows/SearchBatch.h"

#include <algorithm>

namespace burdockstream::flows {

void SearchBatch::add(base::SocketAddress Agent, base::ServiceId Service,
                      std::span<const uint8_t> PacketHeader) {
  Bodies &Known = Pending[{Agent, Service.Value}];
  Known.Service = Service;
  Known.HeaderBytes = PacketHeader.size();
  Known.Bytes.insert(Known.Bytes.end(), PacketHeader.begin(),
                     PacketHeader.end());
}

void SearchBatch::flush(base::Revision Routes, const Sender &Send) {
  FrameHeader Header;
  Header.Kind = FrameKind::Search;
  Header.Routes = Routes;
  for (const auto &[Key, Known] : Pending) {
    Header.Service = Known.Service;
    std::span<const uint8_t> Rest = Known.Bytes;
    while (!Rest.empty()) {
      const size_t Size =
          std::min(Rest.size(), HeadersPerFrame * Known.HeaderBytes);
      Send(Key.first, Header, Rest.first(Size));
      Rest = Rest.subspan(Size);
    }
  }
  Pending.clear();
}

} // namespace burdockstream::flows
