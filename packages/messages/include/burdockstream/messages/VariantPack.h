// msgpack adaptor for std::variant, which is encoded as an array of the
// alternative's index and its value. The index is the type number in messages
// and event traces, so the order of alternatives is part of the format.
#ifndef BURDOCKSTREAM_MESSAGES_VARIANTPACK_H
#define BURDOCKSTREAM_MESSAGES_VARIANTPACK_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <type_traits>
#include <variant>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  // Conversion failures are reported by msgpack::type_error, which callers must
  // catch, for example to turn it into a typed error.
  template <typename... Ts> struct convert<std::variant<Ts...>> {
    using Variant = std::variant<Ts...>;
    using Converter = void (*)(const msgpack::object &, Variant &);

    template <typename T>
    static void convertAlternative(const msgpack::object &Object,
                                   Variant &Value) {
      Object.convert(Value.template emplace<T>());
    }

    const msgpack::object &operator()(const msgpack::object &Object,
                                      Variant &Value) const {
      static constexpr std::array<Converter, sizeof...(Ts)> Converters{
          &convertAlternative<Ts>...};
      if (Object.type != msgpack::type::ARRAY || Object.via.array.size != 2)
        throw msgpack::type_error();
      const auto Index = Object.via.array.ptr[0].as<uint32_t>();
      if (Index >= Converters.size())
        throw msgpack::type_error();
      Converters[Index](Object.via.array.ptr[1], Value);
      return Object;
    }
  };

  template <typename... Ts> struct pack<std::variant<Ts...>> {
    template <typename Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Packer,
               const std::variant<Ts...> &Value) const {
      Packer.pack_array(2);
      Packer.pack(static_cast<uint32_t>(Value.index()));
      std::visit(
          [&Packer](const auto &Alternative) { Packer.pack(Alternative); },
          Value);
      return Packer;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif
