#pragma once

#include "core/manual_clock.h"
#include "ownership/range_authority.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A keyed server with fencing and leases on the test's clock.
class fake_lease_server {
public:
    explicit fake_lease_server(const clock& time) : time_{time} {}

    auto grant(key_range keys, fencing_token token, duration lease) -> result<void>
    {
        for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
            if (highest_token(key) > token) {
                return error{error_code::conflict, "grant", {}, "higher token seen"};
            }
        }
        for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
            highest_tokens_[key] = token;
            held_until_[key] = time_.now() + lease + lease / 50;
        }
        return success();
    }
    auto release(key_range keys, fencing_token token) -> void
    {
        for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
            highest_tokens_[key] = std::max(highest_token(key), token);
            held_until_.erase(key);
        }
    }
    auto holds(std::uint32_t key) const -> bool
    {
        auto it = held_until_.find(key);
        return it != held_until_.end() && time_.now() < it->second;
    }
    auto restart() -> void
    {
        highest_tokens_.clear();
        held_until_.clear();
    }

private:
    auto highest_token(std::uint32_t key) const -> fencing_token
    {
        auto it = highest_tokens_.find(key);
        return it == highest_tokens_.end() ? fencing_token{} : it->second;
    }

    const clock& time_;
    std::map<std::uint32_t, fencing_token> highest_tokens_;
    std::map<std::uint32_t, time_point> held_until_;
};

/// Three servers, and an authority whose calls reach every server that is not in `unreachable`.
struct lease_fixture {
    lease_fixture()
    {
        for (const auto* name : {"a", "b", "c"}) {
            servers.emplace(server_id{name}, fake_lease_server{time});
        }
    }

    /// The authority does not reach the servers in `cut_off` either.
    auto make_authority(const std::set<server_id>& cut_off = {}) -> std::unique_ptr<range_authority>
    {
        range_authority::hooks hooks;
        hooks.grant = [this, cut_off](const server_id& server, key_range keys, fencing_token token,
                                      duration lease, const std::string&,
                                      std::function<void(result<void>)> done) {
            ++grants;
            tokens.insert(token);
            if (cut_off.contains(server)) {
                pending.push_back([done] {
                    done(error{error_code::connection_refused, "grant", {}, "unreachable"});
                });
                return;
            }
            if (unreachable.contains(server)) {
                pending.push_back([done] {
                    done(error{error_code::timeout, "grant", {}, "no answer"});
                });
                return;
            }
            if (replaced.erase(server) > 0) {
                unreachable.insert(server);
                pending.push_back([done] {
                    done(error{error_code::not_found, "grant", {}, "another server"});
                });
                return;
            }
            auto outcome = servers.at(server).grant(keys, token, lease);
            if (drops_answers) {
                outcome = error{error_code::timeout, "grant", {}, "no answer"};
            }
            pending.push_back([done, outcome] { done(outcome); });
        };
        hooks.release = [this, cut_off](const server_id& server, key_range keys,
                                        fencing_token token,
                                        std::function<void(result<std::string>)> done) {
            ++releases;
            if (unreachable.contains(server) || cut_off.contains(server)) {
                pending.push_back([done] {
                    done(error{error_code::timeout, "release", {}, "no answer"});
                });
                return;
            }
            servers.at(server).release(keys, token);
            pending.push_back([done] { done(std::string{"handover"}); });
        };
        return std::make_unique<range_authority>(range_lease_settings{}, time, std::move(hooks));
    }

    auto run(range_authority& authority, duration length, bool is_confirmed = true) -> void
    {
        auto end = time.now() + length;
        while (time.now() < end) {
            time.advance(milliseconds{10});
            if (is_confirmed) {
                authority.confirm(time.now());
            }
            authority.tick(time.now());
            auto callbacks = std::move(pending);
            pending.clear();
            for (auto& call : callbacks) {
                call();
            }
            if (is_store_writable) {
                stored.ranges = authority.ranges_to_record();
                authority.on_recorded(authority.revision(), time.now());
            }
            record_holder_count();
        }
    }

    /// Updates the maximum number of servers that hold one key at the same time.
    auto record_holder_count() -> void
    {
        for (std::uint32_t key : {0U, 1000U, 5000U, 40'000U, 65'535U}) {
            auto holders = std::ranges::count_if(
                servers, [&](const auto& it) { return it.second.holds(key); });
            max_holders = std::max<std::int64_t>(max_holders, holders);
        }
    }

    auto start(range_authority& authority) -> void
    {
        authority.take_over({}, fencing_token{1}, fencing_token{1000},
                            {lease_term{1}, time_point{}}, time.now());
        authority.confirm(time.now());
        authority.set_servers({{server_id{"a"}, 1}, {server_id{"b"}, 1}, {server_id{"c"}, 1}},
                              time.now());
        authority.move({0, 65'535}, server_id{"a"}, time.now());
        run(authority, milliseconds{100});
    }

    /// An authority in its first term, with server `a` as the owner of all keys.
    auto make_started_authority() -> std::unique_ptr<range_authority>
    {
        auto authority = make_authority();
        start(*authority);
        return authority;
    }

    /// Runs the coordinator until the store names the target of a move, and returns that record.
    auto run_until_move_is_recorded(range_authority& authority) -> coordinator_record
    {
        auto has_target = [&] {
            return std::ranges::any_of(stored.ranges,
                                       [](const auto& it) { return it.target.has_value(); });
        };
        for (int n = 0; n < 100 && !has_target(); ++n) {
            run(authority, milliseconds{10});
        }
        return stored;
    }

    /// Creates a coordinator that starts from `recorded` and uses tokens from `first_token`.
    auto make_successor(const coordinator_record& recorded, std::uint64_t first_token,
                        bool has_predecessor = true) -> std::unique_ptr<range_authority>
    {
        auto authority = make_authority();
        auto earlier_end = has_predecessor
                               ? time.now() + range_lease_settings{}.max_unconfirmed_action()
                               : time.now();
        authority->take_over(recorded, fencing_token{first_token},
                             fencing_token{first_token + 1000}, {lease_term{2}, earlier_end},
                             time.now());
        authority->set_servers({{server_id{"a"}, 1}, {server_id{"b"}, 1}, {server_id{"c"}, 1}},
                               time.now());
        return authority;
    }

    /// All earlier coordinators have ended now.
    auto ended() const -> earlier_terms_end { return {lease_term{2}, time.now()}; }

    manual_clock time;
    std::map<server_id, fake_lease_server> servers;
    std::set<server_id> unreachable;
    /// Servers whose address another server uses. The first call is answered with an error, later
    /// calls get no answer.
    std::set<server_id> replaced;
    std::set<fencing_token> tokens;
    std::vector<std::function<void()>> pending;
    bool is_store_writable{true};
    /// Newest record in the store.
    coordinator_record stored;
    /// Grants take effect but their answers are lost.
    bool drops_answers{false};
    std::int64_t max_holders{0};
    int grants{0};
    int releases{0};
};

inline auto owner_of(const range_authority& authority, std::uint16_t key,
                     const lease_fixture& fixture) -> std::string
{
    auto found = authority.find(key, fixture.time.now());
    return found.owner ? found.owner->value() : "";
}

} // namespace cornelswitch::test
