// msgpack adaptors for the identifier and address types of package base.
#ifndef BURDOCKSTREAM_MESSAGES_PACK_H
#define BURDOCKSTREAM_MESSAGES_PACK_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"

#include <msgpack.hpp>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <> struct convert<burdockstream::base::DaemonId> {
    const msgpack::object &operator()(const msgpack::object &Object,
                                      burdockstream::base::DaemonId &Id) const {
      Object.convert(Id.Value);
      return Object;
    }
  };
  template <> struct pack<burdockstream::base::DaemonId> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const burdockstream::base::DaemonId &Id) const {
      return Packer.pack(Id.Value);
    }
  };

  template <> struct convert<burdockstream::base::ServiceId> {
    const msgpack::object &
    operator()(const msgpack::object &Object,
               burdockstream::base::ServiceId &Id) const {
      Object.convert(Id.Value);
      return Object;
    }
  };
  template <> struct pack<burdockstream::base::ServiceId> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const burdockstream::base::ServiceId &Id) const {
      return Packer.pack(Id.Value);
    }
  };

  // An address is encoded as one integer: the IPv4 address shifted left by 16
  // bits, plus the port.
  template <> struct convert<burdockstream::base::SocketAddress> {
    const msgpack::object &
    operator()(const msgpack::object &Object,
               burdockstream::base::SocketAddress &Address) const {
      uint64_t Packed = 0;
      Object.convert(Packed);
      if (Packed >> 48 != 0)
        throw msgpack::type_error();
      Address.Ip = static_cast<uint32_t>(Packed >> 16);
      Address.Port = static_cast<uint16_t>(Packed);
      return Object;
    }
  };
  template <> struct pack<burdockstream::base::SocketAddress> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const burdockstream::base::SocketAddress &Address) const {
      return Packer.pack(burdockstream::base::packAddress(Address));
    }
  };

  // Base of the adaptors of an enumeration whose values are 0 to Last. Values
  // beyond Last, which a newer daemon may send, are rejected because no code
  // handles them.
  template <typename EnumT, EnumT Last> struct ConvertBoundedEnum {
    const msgpack::object &operator()(const msgpack::object &Object,
                                      EnumT &Value) const {
      const auto Number = Object.as<uint64_t>();
      if (Number > static_cast<uint64_t>(Last))
        throw msgpack::type_error();
      Value = static_cast<EnumT>(Number);
      return Object;
    }
  };
  template <typename EnumT> struct PackEnum {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &Packer,
                                        const EnumT &Value) const {
      return Packer.pack(static_cast<uint64_t>(Value));
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif
