#include "ownership/register_writer.h"

#include "core/intervals.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// A lost message delays a transfer by this interval. It is short enough for several resends within
// one second.
constexpr duration resend_interval = std::chrono::milliseconds{50};
// Announcements are not urgent: a member that misses one reads the value at its next takeover.
constexpr duration announce_interval = lease_renewal_interval;

auto all_committed(const std::vector<register_entry>& entries) -> bool
{
    return std::all_of(entries.begin(), entries.end(),
                       [](const register_entry& it) { return it.value.committed; });
}

} // namespace

auto register_writer::start(const server_id& server, lease_term term,
                            std::vector<register_entry> entries) -> void
{
    if (entries.empty()) {
        return;
    }
    batch it;
    it.sequence = ++sequence_;
    it.server = server;
    it.term = term;
    it.committed = all_committed(entries);
    it.entries = std::move(entries);
    batches_.push_back(std::move(it));
}

auto register_writer::drop(const server_id& server) -> void
{
    std::erase_if(batches_, [&server](const batch& it) { return it.server == server; });
}

auto register_writer::take_due(time_point now) -> std::vector<batch>
{
    std::vector<batch> out;
    for (auto& it : batches_) {
        if (now >= it.next_send) {
            it.next_send = now + (it.committed ? announce_interval : resend_interval);
            out.push_back(it);
        }
    }
    return out;
}

auto register_writer::on_answer(const voter_answer& by, const register_written& answer) -> void
{
    for (auto& it : batches_) {
        if (it.sequence != answer.sequence || !answer.accepted) {
            continue;
        }
        if (std::find(it.answers.begin(), it.answers.end(), by) == it.answers.end()) {
            it.answers.push_back(by);
        }
    }
}

auto register_writer::take_committed(const std::vector<quorum>& quorums) -> std::vector<batch>
{
    std::vector<batch> out;
    for (auto& it : batches_) {
        if (it.committed || !is_majority(quorums, it.answers)) {
            continue;
        }
        for (auto& entry : it.entries) {
            entry.value.committed = true;
        }
        it.committed = true;
        it.answers.clear();
        it.sequence = ++sequence_;
        it.next_send = {};
        out.push_back(it);
    }
    return out;
}

auto register_writer::finish(const std::vector<cell_member>& members) -> void
{
    std::erase_if(batches_, [&members](const batch& it) {
        return it.committed && std::all_of(members.begin(), members.end(), [&it](const auto& m) {
                   return std::any_of(it.answers.begin(), it.answers.end(),
                                      [&m](const voter_answer& a) { return a.voter == m; });
               });
    });
}

auto register_writer::is_writing(const slot_key& key) const -> bool
{
    return std::any_of(batches_.begin(), batches_.end(), [&key](const batch& it) {
        return !it.committed && std::any_of(it.entries.begin(), it.entries.end(),
                                            [&key](const auto& e) { return e.key == key; });
    });
}

} // namespace cornelswitch
