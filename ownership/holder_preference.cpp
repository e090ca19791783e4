#include "ownership/holder_preference.h"

#include "core/hash.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// Maximum number of leases of a member, as a percentage of the mean. A higher bound moves fewer
// leases when members join or leave, a lower one balances better.
constexpr std::size_t max_load_percent = 125;

auto by_weight(const server_id& server, std::vector<instance_id> members)
    -> std::vector<instance_id>
{
    auto weight = [&server](const instance_id& it) {
        return rendezvous_weight(server.value(), it.value());
    };
    std::sort(members.begin(), members.end(), [&weight](const auto& a, const auto& b) {
        return std::make_pair(weight(a), a) > std::make_pair(weight(b), b);
    });
    return members;
}

} // namespace

auto preferred_holders(const std::vector<server_id>& servers,
                       const std::vector<instance_id>& members)
    -> std::map<server_id, std::vector<instance_id>>
{
    std::map<server_id, std::vector<instance_id>> out;
    if (members.empty()) {
        return out;
    }
    auto share = servers.size() * max_load_percent;
    auto capacity = (share + members.size() * 100 - 1) / (members.size() * 100);
    std::map<instance_id, std::size_t> held;
    for (const auto& server : servers) {
        auto order = by_weight(server, members);
        auto chosen = std::find_if(order.begin(), order.end(), [&held, capacity](const auto& it) {
            return held[it] < capacity;
        });
        ++held[*chosen];
        std::rotate(order.begin(), chosen, std::next(chosen));
        out[server] = std::move(order);
    }
    return out;
}

} // namespace cornelswitch
