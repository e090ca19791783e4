#include "ownership/state_copy.h"

#include "config/msgpack_fields.h"
#include "ownership/snapshot_codec.h"

namespace cornelswitch {

// A separate struct for this message, so that only the record codec defines how a configuration
// record is encoded.
struct raw_state_copy {
    log_offset config_end;
    config_version version;
    std::string config_text;
    std::string ownership;
};

static auto fields(raw_state_copy& it)
{
    return std::tie(it.config_end, it.version, it.config_text, it.ownership);
}

auto encode_state_copy(const state_copy& copy) -> std::string
{
    const auto& config = copy.config;
    return encode_fields(raw_state_copy{config.end, config.version, config.text, copy.ownership});
}

auto decode_state_copy(std::string_view bytes) -> result<state_copy>
{
    constexpr std::size_t overhead_bytes = 1024;
    constexpr auto max_bytes = max_config_bytes + max_snapshot_bytes + overhead_bytes;
    auto decoded = decode_fields<raw_state_copy>(bytes, max_bytes, "state-copy");
    if (!decoded) {
        return decoded.error();
    }
    auto& it = decoded.value();
    return state_copy{{it.config_end, it.version, std::move(it.config_text)},
                      std::move(it.ownership)};
}

} // namespace cornelswitch
