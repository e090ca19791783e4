#include "fleet/candidate.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

auto encode_candidate(const candidate& record) -> std::string
{
    nlohmann::json json{{"zone", record.zone.value()},
                        {"address", record.address.address},
                        {"port", record.address.port},
                        {"cpu_share", record.cpu_share}};
    return json.dump();
}

auto decode_candidate(std::string_view id, std::string_view json_text) -> result<candidate>
{
    error malformed{error_code::invalid_message, "decode-candidate", std::string{id},
                    "malformed record"};
    auto json = nlohmann::json::parse(json_text.begin(), json_text.end(), nullptr, false);
    if (id.empty() || !json.is_object()) {
        return malformed;
    }
    try {
        candidate decoded;
        decoded.id = instance_id{std::string{id}};
        decoded.zone = zone_id{json.at("zone").get<std::string>()};
        decoded.address = {json.at("address").get<std::string>(),
                           json.at("port").get<std::uint16_t>()};
        decoded.cpu_share = json.at("cpu_share").get<double>();
        return decoded;
    } catch (const nlohmann::json::exception&) {
        return malformed;
    }
}

} // namespace cornelswitch
