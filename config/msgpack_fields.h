#pragma once

#include "config/record_header.h"
#include "core/epoch.h"
#include "core/error.h"
#include "core/slot_set.h"
#include "core/strong_id.h"

#include <msgpack.hpp>

#include <string_view>
#include <tuple>

/// Msgpack adaptors. A struct for which `fields(value)` returns a tuple of references is encoded as
/// an array of exactly these elements; an array of any other length is malformed.
namespace cornelswitch {

template<typename type>
concept has_fields = requires(type& value)
{
    std::tuple_size_v<decltype(fields(value))>;
};

inline auto fields(record_header& it)
{
    return std::tie(it.writer, it.boot, it.sequence);
}
inline auto fields(slot_epoch& it)
{
    return std::tie(it.major, it.minor);
}

/// Limits for decoding messages of at most `max_bytes`. With them, a wrong length field cannot
/// allocate more memory than a multiple of the message size.
inline auto decoding_limit(std::size_t max_bytes) -> msgpack::unpack_limit
{
    constexpr std::size_t max_depth = 8;
    return {max_bytes, 0, max_bytes, max_bytes, 0, max_depth};
}

/// Makes msgpack refer to strings in the input instead of copying them.
inline auto refer_to_input(msgpack::type::object_type, std::size_t, void*) -> bool
{
    return true;
}

/// Passes the only value of a message to `parse`, which returns whether the value is valid and may
/// throw. The strings of the value refer to `bytes` and must not outlive it. Errors:
/// `invalid_message` if the message is malformed, too large or not valid.
template<typename parser>
auto parse_message(std::string_view bytes, std::size_t max_bytes, std::string_view step,
                   const parser& parse) -> result<void>
{
    auto invalid = [step](std::string_view what) {
        return error{error_code::invalid_message, std::string{step}, "", std::string{what}};
    };
    if (bytes.size() > max_bytes) {
        return invalid("message too large");
    }
    try {
        std::size_t offset = 0;
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, refer_to_input, nullptr,
                                      decoding_limit(bytes.size()));
        if (offset != bytes.size()) {
            return invalid("trailing bytes");
        }
        if (!parse(handle.get())) {
            return invalid("value out of bounds");
        }
        return success();
    } catch (const std::exception& ex) {
        return invalid(ex.what());
    }
}

/// Decodes a message that consists of one value. Errors: `invalid_message` if the message is
/// malformed or larger than `max_bytes`.
template<typename type>
auto decode_fields(std::string_view bytes, std::size_t max_bytes, std::string_view step)
    -> result<type>
{
    type out{};
    auto parse = [&out](const msgpack::object& in) {
        in.convert(out);
        return true;
    };
    auto parsed = parse_message(bytes, max_bytes, step, parse);
    if (!parsed) {
        return parsed.error();
    }
    return out;
}

template<typename type>
auto encode_fields(const type& value) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

} // namespace cornelswitch

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template<cornelswitch::has_fields record>
    struct pack<record> {
        template<typename stream>
        auto operator()(packer<stream>& out, const record& value) const -> packer<stream>&
        {
            auto items = fields(const_cast<record&>(value));
            out.pack_array(std::tuple_size_v<decltype(items)>);
            std::apply([&out](const auto&... it) { (out.pack(it), ...); }, items);
            return out;
        }
    };

    template<cornelswitch::has_fields record>
    struct convert<record> {
        auto operator()(const msgpack::object& in, record& value) const -> const msgpack::object&
        {
            auto items = fields(value);
            if (in.type != msgpack::type::ARRAY ||
                in.via.array.size != std::tuple_size_v<decltype(items)>) {
                throw msgpack::type_error();
            }
            const auto* next = in.via.array.ptr;
            std::apply([&next](auto&... it) { ((next++)->convert(it), ...); }, items);
            return in;
        }
    };

    template<typename tag, typename rep>
    struct pack<cornelswitch::strong_id<tag, rep>> {
        template<typename stream>
        auto operator()(packer<stream>& out, const cornelswitch::strong_id<tag, rep>& value) const
            -> packer<stream>&
        {
            return out.pack(value.value());
        }
    };

    template<typename tag, typename rep>
    struct convert<cornelswitch::strong_id<tag, rep>> {
        auto operator()(const msgpack::object& in, cornelswitch::strong_id<tag, rep>& value) const
            -> const msgpack::object&
        {
            value = cornelswitch::strong_id<tag, rep>{in.as<rep>()};
            return in;
        }
    };

    template<>
    struct pack<cornelswitch::slot_set> {
        template<typename stream>
        auto operator()(packer<stream>& out, const cornelswitch::slot_set& value) const
            -> packer<stream>&
        {
            return out.pack(value.to_text());
        }
    };

    template<>
    struct convert<cornelswitch::slot_set> {
        auto operator()(const msgpack::object& in, cornelswitch::slot_set& value) const
            -> const msgpack::object&
        {
            auto parsed = cornelswitch::slot_set::parse(in.as<std::string_view>());
            if (!parsed) {
                throw msgpack::type_error();
            }
            value = std::move(parsed).value();
            return in;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
