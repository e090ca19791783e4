#include "ownership/coordinator_record.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

auto encode_coordinator_record(const coordinator_record& it) -> std::string
{
    auto ranges = nlohmann::json::array();
    for (const auto& range : it.ranges) {
        ranges.push_back({range.keys.first, range.keys.last, range.owner.value(), range.incarnation,
                          range.token.value()});
    }
    nlohmann::json out{{"coordinator", it.coordinator.value()},
                       {"boot", it.boot.value()},
                       {"address", it.address.address},
                       {"port", it.address.port},
                       {"term", it.term.value()},
                       {"token_limit", it.token_limit.value()},
                       {"revision", it.revision},
                       {"is_sole", it.is_sole},
                       {"ranges", std::move(ranges)}};
    return out.dump();
}

auto decode_coordinator_record(std::string_view text) -> result<coordinator_record>
{
    error malformed{error_code::invalid_message, "decode-ownership", {}, "malformed record"};
    try {
        auto from = nlohmann::json::parse(text.begin(), text.end());
        coordinator_record out;
        out.coordinator = instance_id{from.at("coordinator").get<std::string>()};
        out.boot = boot_id{from.at("boot").get<std::uint64_t>()};
        out.address = {from.at("address").get<std::string>(), from.at("port").get<std::uint16_t>()};
        out.term = lease_term{from.at("term").get<std::uint64_t>()};
        out.token_limit = fencing_token{from.at("token_limit").get<std::uint64_t>()};
        out.revision = from.at("revision").get<std::uint64_t>();
        out.is_sole = from.at("is_sole").get<bool>();
        for (const auto& row : from.at("ranges")) {
            recorded_range range;
            range.keys = {row.at(0).get<std::uint16_t>(), row.at(1).get<std::uint16_t>()};
            range.owner = server_id{row.at(2).get<std::string>()};
            range.incarnation = row.at(3).get<std::int64_t>();
            range.token = fencing_token{row.at(4).get<std::uint64_t>()};
            if (range.keys.first > range.keys.last) {
                return malformed;
            }
            out.ranges.push_back(std::move(range));
        }
        return out;
    } catch (const nlohmann::json::exception& ec) {
        malformed.message = ec.what();
        return malformed;
    }
}

} // namespace cornelswitch
