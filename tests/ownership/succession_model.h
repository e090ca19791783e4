#pragma once

#include "core/manual_clock.h"
#include "core/random.h"
#include "ownership/coordinator_succession.h"
#include "ownership/range_authority.h"
#include "ownership/store_era_tracker.h"
#include "tests/ownership/restorable_store.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch::test {

/// Which faults a run of the model injects.
struct model_options {
    std::uint64_t seed{1};
    duration length{std::chrono::seconds{60}};
    bool restarts_servers{true};
    /// Instances that take over in turn although their predecessors still reach the servers.
    bool changes_coordinators{true};
    /// Whether the store is restored from copies that are up to 10 s old, while appends are late or
    /// arrive twice.
    bool restores_store{false};
    /// Difference in rate between a clock and true time, in parts per thousand.
    int max_drift_per_mille{0};
    /// Receives a line for each event; not called when empty.
    std::function<void(const std::string&)> trace;
};

struct model_result {
    /// Violations of exclusive ownership, with their times.
    std::vector<std::string> violations;
    /// Blocks of keys that no server holds although all faults ended long ago.
    int unowned_blocks{0};
    std::uint64_t terms{0};
    std::uint64_t moves{0};
    std::uint64_t restarts{0};
    std::uint64_t restores{0};
};

/// Random runs of several instances that take over the coordinator role of one keyed service, on
/// virtual time: `coordinator_succession` and `range_authority` with servers that fence, lapse and
/// restart, a store with conditional appends, and calls that are late or lost.
///
/// After every event, at most one live server may hold a key, and a server may take a key only with
/// a token above those of all servers that held it before.
class succession_model {
public:
    explicit succession_model(model_options options);
    ~succession_model();

    auto run() -> model_result;

private:
    /// Keys are moved in whole blocks, so one key stands for each block.
    static constexpr std::size_t blocks = 8;
    static constexpr std::size_t instance_count = 4;
    static constexpr std::size_t server_count = 4;

    class drifting_clock;
    struct lease_server;
    struct connection;
    struct call_channel;
    struct instance;
    enum class append_kind : std::uint8_t { none, takeover, ranges };

    auto at(duration delay, std::function<void()> action) -> void;
    /// Runs `action` at the instance, later if it is frozen, never if its process has ended.
    auto deliver(instance& to, duration delay, std::function<void()> action) -> void;
    auto chance(double probability) -> bool { return uniform_real(random_) < probability; }
    auto between(int min_ms, int max_ms) -> duration;
    /// Delay of a message on a healthy link; sometimes long.
    auto network_delay() -> duration;

    auto start_process(instance& it) -> void;
    auto end_process(instance& it) -> void;
    auto tick(instance& it) -> void;
    auto join(instance& it) -> void;
    auto read_store(instance& it) -> void;
    auto on_read(instance& it, std::size_t end, const std::vector<coordinator_record>& records,
                 time_point sent_at) -> void;
    /// Era that the store's responses name; 0 when the run has no restores.
    auto named_era() const -> store_era;
    /// Classifies a response of the store and starts anew when it is of a new era.
    auto classify(instance& it, store_era era) -> era_class;
    auto on_peer_era(instance& it, store_era era) -> void;
    auto on_new_era(instance& it) -> void;
    auto start_append(instance& it) -> void;
    auto on_append_failed(instance& it, append_kind kind) -> void;
    auto become_coordinator(instance& it, const coordinator_record& mine, time_point confirmed_at)
        -> void;
    auto step_down(instance& it) -> void;
    auto ask_predecessor(instance& it) -> void;
    auto read_directory(instance& it) -> void;
    auto plan(instance& it) -> void;

    auto make_hooks(instance& it) -> range_authority::hooks;
    auto channel(instance& it, const server_id& server) -> call_channel&;
    auto send_next_grant(instance& it, const server_id& server) -> void;
    auto connect(instance& it, lease_server& server, bool is_for_grants) -> error_code;
    auto close_connection(instance& it, const server_id& server, bool is_for_grants) -> void;
    auto apply_grant(lease_server& server, key_range keys, fencing_token token, duration lease,
                     time_point arrived_at) -> bool;
    auto restart_server(lease_server& server) -> void;

    auto inject_fault() -> void;
    auto start_restores() -> void;
    auto restore_store(duration age) -> void;
    /// Cuts the coordinator off until another one has moved keys, and then restores a copy that is
    /// older than the term of the other one.
    auto restore_at_replaced_coordinator() -> void;
    /// Delivers an append to the store a second time, in some cases.
    auto repeat_append(const coordinator_record& record, std::size_t expected_end) -> void;
    auto check(const std::string& event) -> void;
    auto report(const std::string& text) -> void;
    auto trace(const std::string& text) const -> void;
    auto is_cut_from_store(const instance& it) const -> bool;
    auto leader() -> instance*;

    model_options options_;
    random_engine random_;
    manual_clock time_;
    time_point end_;
    time_point faults_end_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::unique_ptr<lease_server>> servers_;
    restorable_store store_;
    time_point store_down_until_{};
    /// Index of the instance to which the store assigns the role.
    std::size_t assigned_{0};
    std::uint64_t last_boot_{0};
    /// Highest token with which any server held the keys of each block, and that server.
    std::array<std::pair<fencing_token, server_id>, blocks> highest_;
    /// When any server last held each block.
    std::array<time_point, blocks> last_held_{};
    model_result result_;
};

} // namespace cornelswitch::test
