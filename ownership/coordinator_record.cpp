#include "ownership/coordinator_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cornelswitch {

namespace {

/// First key, last key, index of the owner, and distance of the token from `token_limit`.
constexpr std::size_t numbers_per_range = 4;
/// Index of a range and index of the server to which it is to move.
constexpr std::size_t numbers_per_move = 2;
constexpr std::int64_t unknown_incarnation = 0;

} // namespace

auto encode_coordinator_record(const coordinator_record& it) -> std::string
{
    // A record may have thousands of ranges and is read by every instance. To keep it small, each
    // owner is written once and tokens are written as distances from `token_limit`.
    auto owners = nlohmann::json::array();
    auto ranges = nlohmann::json::array();
    auto moves = nlohmann::json::array();
    std::map<std::pair<server_id, std::int64_t>, std::size_t> owner_indexes;
    auto owner_index = [&](const server_id& server, std::int64_t incarnation) {
        auto [index, is_new] = owner_indexes.try_emplace({server, incarnation}, owners.size());
        if (is_new) {
            owners.push_back({server.value(), incarnation});
        }
        return index->second;
    };
    for (std::size_t n = 0; n < it.ranges.size(); ++n) {
        const auto& range = it.ranges[n];
        ranges.push_back(range.keys.first);
        ranges.push_back(range.keys.last);
        ranges.push_back(owner_index(range.owner, range.incarnation));
        ranges.push_back(static_cast<std::int64_t>(it.token_limit.value() - range.token.value()));
        if (range.target) {
            moves.push_back(n);
            moves.push_back(owner_index(*range.target, unknown_incarnation));
        }
    }
    nlohmann::json out{{"coordinator", it.coordinator.value()},
                       {"boot", it.boot.value()},
                       {"address", it.address.address},
                       {"port", it.address.port},
                       {"term", it.term.value()},
                       {"token_limit", it.token_limit.value()},
                       {"revision", it.revision},
                       {"is_sole", it.has_no_live_predecessor},
                       {"owners", std::move(owners)},
                       {"ranges", std::move(ranges)}};
    if (it.era != store_era{}) {
        out["era"] = it.era.value();
    }
    if (it.names_all_holders) {
        out["moves"] = std::move(moves);
    }
    return out.dump();
}

auto decode_coordinator_record(std::string_view text) -> result<coordinator_record>
{
    error malformed{error_code::invalid_message, "decode-ownership", {}, "malformed record"};
    try {
        auto json = nlohmann::json::parse(text.begin(), text.end());
        coordinator_record out;
        out.coordinator = instance_id{json.at("coordinator").get<std::string>()};
        out.boot = boot_id{json.at("boot").get<std::uint64_t>()};
        out.address = {json.at("address").get<std::string>(), json.at("port").get<std::uint16_t>()};
        out.term = lease_term{json.at("term").get<std::uint64_t>()};
        // An earlier version that takes over writes no era, but continues the terms.
        out.era = std::max(store_era{json.value("era", std::uint64_t{0})}, era_of(out.term));
        out.token_limit = fencing_token{json.at("token_limit").get<std::uint64_t>()};
        out.revision = json.at("revision").get<std::uint64_t>();
        out.has_no_live_predecessor = json.at("is_sole").get<bool>();
        const auto& owners = json.at("owners");
        const auto& ranges = json.at("ranges");
        if (ranges.size() % numbers_per_range != 0) {
            return malformed;
        }
        for (std::size_t n = 0; n < ranges.size(); n += numbers_per_range) {
            const auto& owner = owners.at(ranges[n + 2].get<std::size_t>());
            recorded_range range;
            range.keys = {ranges[n].get<std::uint16_t>(), ranges[n + 1].get<std::uint16_t>()};
            range.owner = server_id{owner.at(0).get<std::string>()};
            range.incarnation = owner.at(1).get<std::int64_t>();
            auto token_distance = ranges[n + 3].get<std::int64_t>();
            range.token =
                fencing_token{out.token_limit.value() - static_cast<std::uint64_t>(token_distance)};
            if (range.keys.first > range.keys.last) {
                return malformed;
            }
            out.ranges.push_back(std::move(range));
        }
        auto moves = json.find("moves");
        out.names_all_holders = moves != json.end();
        for (std::size_t n = 0; out.names_all_holders && n + 1 < moves->size();
             n += numbers_per_move) {
            const auto& target = owners.at(moves->at(n + 1).get<std::size_t>());
            auto index = moves->at(n).get<std::size_t>();
            if (index >= out.ranges.size()) {
                return malformed;
            }
            out.ranges[index].target = server_id{target.at(0).get<std::string>()};
        }
        return out;
    } catch (const nlohmann::json::exception& ec) {
        malformed.message = ec.what();
        return malformed;
    }
}

} // namespace cornelswitch
