#include "config/config_record.h"

#include "config/msgpack_fields.h"

namespace cornelswitch {

namespace {

constexpr auto step = std::string_view{"config-record"};
/// Upper limit for the encoded size of the header and of the fields other than the text.
constexpr std::size_t overhead_bytes = 4096;

} // namespace

static auto fields(config_change& it)
{
    return std::tie(it.replaces, it.text);
}
static auto fields(config_snapshot& it)
{
    return std::tie(it.end, it.version, it.text);
}

// Encoded form of a record. Exactly one of `change` and `snapshot` is present.
struct raw_config_record {
    record_header header;
    std::optional<config_change> change;
    std::optional<config_snapshot> snapshot;
};

static auto fields(raw_config_record& it)
{
    return std::tie(it.header, it.change, it.snapshot);
}

auto encode_config_record(const config_record& record) -> std::string
{
    raw_config_record raw{record.header, std::nullopt, std::nullopt};
    if (const auto* change = std::get_if<config_change>(&record.body)) {
        raw.change = *change;
    } else {
        raw.snapshot = std::get<config_snapshot>(record.body);
    }
    return encode_fields(raw);
}

auto decode_config_record(std::string_view bytes) -> result<config_record>
{
    auto raw = decode_fields<raw_config_record>(bytes, max_config_bytes + overhead_bytes, step);
    if (!raw) {
        return raw.error();
    }
    auto& it = raw.value();
    if (it.change.has_value() == it.snapshot.has_value()) {
        return error{error_code::invalid_message, std::string{step}, "",
                     "expected either a change or a snapshot"};
    }
    if (it.change) {
        return config_record{std::move(it.header), std::move(*it.change)};
    }
    return config_record{std::move(it.header), std::move(*it.snapshot)};
}

} // namespace cornelswitch
