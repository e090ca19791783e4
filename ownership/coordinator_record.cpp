#include "ownership/coordinator_record.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace cornelswitch {

namespace {

/// First key, last key, number of the owner, distance of the token from the limit.
constexpr std::size_t numbers_per_range = 4;

} // namespace

auto encode_coordinator_record(const coordinator_record& it) -> std::string
{
    // A record may name thousands of ranges and every instance reads it, so an owner is written
    // once and tokens are written as distances from the limit.
    auto owners = nlohmann::json::array();
    auto ranges = nlohmann::json::array();
    std::map<std::pair<server_id, std::int64_t>, std::size_t> numbers;
    for (const auto& range : it.ranges) {
        auto [known, is_new] = numbers.try_emplace({range.owner, range.incarnation}, owners.size());
        if (is_new) {
            owners.push_back({range.owner.value(), range.incarnation});
        }
        ranges.push_back(range.keys.first);
        ranges.push_back(range.keys.last);
        ranges.push_back(known->second);
        ranges.push_back(static_cast<std::int64_t>(it.token_limit.value() - range.token.value()));
    }
    nlohmann::json out{{"coordinator", it.coordinator.value()},
                       {"boot", it.boot.value()},
                       {"address", it.address.address},
                       {"port", it.address.port},
                       {"term", it.term.value()},
                       {"token_limit", it.token_limit.value()},
                       {"revision", it.revision},
                       {"is_sole", it.is_sole},
                       {"owners", std::move(owners)},
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
        const auto& owners = from.at("owners");
        const auto& ranges = from.at("ranges");
        if (ranges.size() % numbers_per_range != 0) {
            return malformed;
        }
        for (std::size_t n = 0; n < ranges.size(); n += numbers_per_range) {
            const auto& owner = owners.at(ranges[n + 2].get<std::size_t>());
            recorded_range range;
            range.keys = {ranges[n].get<std::uint16_t>(), ranges[n + 1].get<std::uint16_t>()};
            range.owner = server_id{owner.at(0).get<std::string>()};
            range.incarnation = owner.at(1).get<std::int64_t>();
            auto distance = ranges[n + 3].get<std::int64_t>();
            range.token =
                fencing_token{out.token_limit.value() - static_cast<std::uint64_t>(distance)};
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
