#include "ownership/cell_messages.h"

#include "config/msgpack_fields.h"
#include "core/hash.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// Registers of slots that have the same value. After the loss of a server, most of its slots do.
struct register_group {
    service_id service;
    slot_epoch epoch;
    std::optional<server_id> target;
    bool committed{false};
    server_id from;
    lease_term term;
    slot_set slots;

    auto value() const -> register_value { return {epoch, target, committed, from, term}; }
};

auto has_value(const register_group& group, const register_entry& it) -> bool
{
    return group.service == it.key.service && group.value() == it.value;
}

// A batch has few groups, so a linear search is sufficient.
auto to_groups(const std::vector<register_entry>& entries) -> std::vector<register_group>
{
    std::vector<register_group> out;
    for (const auto& it : entries) {
        auto group = std::find_if(out.begin(), out.end(),
                                  [&it](const auto& other) { return has_value(other, it); });
        if (group == out.end()) {
            const auto& value = it.value;
            out.push_back({it.key.service,
                           value.epoch,
                           value.target,
                           value.committed,
                           value.from,
                           value.term,
                           {}});
            group = std::prev(out.end());
        }
        group->slots.insert(it.key.slot);
    }
    return out;
}

auto add_range(const register_group& group, const slot_set::range& range,
               std::vector<register_entry>& out) -> void
{
    for (auto slot = range.first; slot <= range.last; ++slot) {
        out.push_back({{group.service, slot_index{slot}}, group.value()});
    }
}

// A service has at most 65,536 hash slots and 4,096 slots of single keys.
constexpr std::uint32_t max_slot = 65'536 + 4'096;

// Returns the entries in the order of their groups; `slot_registers` does not depend on the order.
auto to_entries(const std::vector<register_group>& groups) -> result<std::vector<register_entry>>
{
    std::vector<register_entry> out;
    for (const auto& group : groups) {
        for (const auto& range : group.slots.ranges()) {
            if (range.last >= max_slot) {
                return error{error_code::invalid_message, "cell-message", "", "slot out of range"};
            }
            add_range(group, range, out);
        }
    }
    return out;
}

// Encoding of the membership epochs. The acknowledged one is the active one or its successor, so
// the difference takes few bytes.
struct epoch_pair {
    std::uint64_t active{0};
    std::uint64_t acked_delta{0};

    template<typename message>
    explicit epoch_pair(const message& it) : active{it.active}, acked_delta{it.acked - it.active}
    {
    }
    epoch_pair() = default;

    template<typename message>
    auto copy_to(message& it) const -> void
    {
        it.active = active;
        it.acked = active + acked_delta;
    }
};

struct heartbeat_body {
    std::uint16_t number{0};
    epoch_pair epochs;
    std::uint32_t digest{0};
    std::uint64_t applied_end{0};
    /// Bit 0: leaving; bit 1: recovering.
    std::uint8_t flags{0};
};
constexpr unsigned synced_bit = 4;

struct reply_body {
    std::uint16_t number{0};
    epoch_pair epochs;
    /// Bits 0 and 1: status; bit 2: has synced.
    std::uint8_t status{0};
};
struct list_body {
    std::uint32_t sequence{0};
    epoch_pair epochs;
    std::vector<lease_entry> entries;
};
struct votes_body {
    std::uint32_t sequence{0};
    epoch_pair epochs;
    std::uint64_t register_digest{0};
    std::vector<lease_vote> votes;
};
struct copy_body {
    std::uint32_t sequence{0};
    epoch_pair epochs;
    bool has_synced{false};
    std::vector<register_group> groups;
};
struct write_body {
    std::uint32_t sequence{0};
    epoch_pair epochs;
    server_id server;
    lease_term term;
    std::vector<register_group> groups;
};
struct written_body {
    std::uint32_t sequence{0};
    epoch_pair epochs;
    bool accepted{false};
};

} // namespace

// Outside of the unnamed namespace, so that the msgpack adaptors find these functions by
// argument-dependent lookup.
inline auto fields(lease_entry& it)
{
    return std::tie(it.server, it.term, it.available, it.held);
}
inline auto fields(lease_vote& it)
{
    return std::tie(it.granted, it.promised, it.handed_over, it.other_lease_ms);
}
inline auto fields(lease_release& it)
{
    return std::tie(it.sequence, it.entries);
}
inline auto fields(register_read& it)
{
    return std::tie(it.sequence);
}
inline auto fields(membership_ack& it)
{
    return std::tie(it.epoch, it.active);
}
inline auto fields(dispatcher_query& it)
{
    return std::tie(it.server);
}
inline auto fields(dispatcher_answer& it)
{
    return std::tie(it.server, it.dispatcher, it.term);
}
inline auto fields(release_request& it)
{
    return std::tie(it.service, it.server, it.slots);
}

namespace {

auto fields(register_group& it)
{
    return std::tie(it.service, it.epoch, it.target, it.committed, it.from, it.term, it.slots);
}
auto fields(heartbeat_body& it)
{
    return std::tie(it.number, it.epochs.active, it.epochs.acked_delta, it.digest, it.applied_end,
                    it.flags);
}
auto fields(reply_body& it)
{
    return std::tie(it.number, it.epochs.active, it.epochs.acked_delta, it.status);
}
auto fields(list_body& it)
{
    return std::tie(it.sequence, it.epochs.active, it.epochs.acked_delta, it.entries);
}
auto fields(votes_body& it)
{
    return std::tie(it.sequence, it.epochs.active, it.epochs.acked_delta, it.register_digest,
                    it.votes);
}
auto fields(copy_body& it)
{
    return std::tie(it.sequence, it.epochs.active, it.epochs.acked_delta, it.has_synced, it.groups);
}
auto fields(write_body& it)
{
    return std::tie(it.sequence, it.epochs.active, it.epochs.acked_delta, it.server, it.term,
                    it.groups);
}
auto fields(written_body& it)
{
    return std::tie(it.sequence, it.epochs.active, it.epochs.acked_delta, it.accepted);
}

auto to_body(const heartbeat& it) -> heartbeat_body
{
    auto flags = static_cast<std::uint8_t>((it.leaving ? 1 : 0) | (it.recovering ? 2 : 0));
    return {it.number, epoch_pair{it}, it.digest, it.applied_end, flags};
}
auto to_body(const heartbeat_reply& it) -> reply_body
{
    auto synced = it.has_synced ? synced_bit : 0U;
    return {it.number, epoch_pair{it},
            static_cast<std::uint8_t>(static_cast<unsigned>(it.status) | synced)};
}
auto to_body(const lease_list& it) -> list_body
{
    return {it.sequence, epoch_pair{it}, it.entries};
}
auto to_body(const lease_votes& it) -> votes_body
{
    return {it.sequence, epoch_pair{it}, it.register_digest, it.votes};
}
auto to_body(const register_copy& it) -> copy_body
{
    return {it.sequence, epoch_pair{it}, it.has_synced, to_groups(it.entries)};
}
auto to_body(const register_write& it) -> write_body
{
    return {it.sequence, epoch_pair{it}, it.server, it.term, to_groups(it.entries)};
}
auto to_body(const register_written& it) -> written_body
{
    return {it.sequence, epoch_pair{it}, it.accepted};
}
template<typename message>
auto to_body(const message& it) -> const message&
{
    return it;
}

auto from_body(const heartbeat_body& it) -> result<cell_message>
{
    heartbeat out{it.number,          0, 0, it.digest, it.applied_end, (it.flags & 1) != 0,
                  (it.flags & 2) != 0};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const reply_body& it) -> result<cell_message>
{
    auto status = it.status & ~synced_bit;
    if (status > static_cast<unsigned>(renewal_status::refused)) {
        return error{error_code::invalid_message, "cell-message", "", "unknown renewal status"};
    }
    heartbeat_reply out{it.number, 0, 0, static_cast<renewal_status>(status),
                        (it.status & synced_bit) != 0};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const list_body& it) -> result<cell_message>
{
    lease_list out{it.sequence, 0, 0, it.entries};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const votes_body& it) -> result<cell_message>
{
    lease_votes out{it.sequence, 0, 0, it.register_digest, it.votes};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const copy_body& it) -> result<cell_message>
{
    BOOST_OUTCOME_TRY(entries, to_entries(it.groups));
    register_copy out{it.sequence, 0, 0, it.has_synced, std::move(entries)};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const write_body& it) -> result<cell_message>
{
    BOOST_OUTCOME_TRY(entries, to_entries(it.groups));
    register_write out{it.sequence, 0, 0, it.server, it.term, std::move(entries)};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const written_body& it) -> result<cell_message>
{
    register_written out{it.sequence, 0, 0, it.accepted};
    it.epochs.copy_to(out);
    return out;
}
auto from_body(const release_request& it) -> result<cell_message>
{
    if (!it.slots.empty() && it.slots.ranges().back().last >= max_slot) {
        return error{error_code::invalid_message, "cell-message", "", "slot out of range"};
    }
    return cell_message{it};
}
template<typename message>
auto from_body(const message& it) -> result<cell_message>
{
    return cell_message{it};
}

template<typename body>
auto decode_body(std::string_view bytes) -> result<cell_message>
{
    BOOST_OUTCOME_TRY(it, decode_fields<body>(bytes, max_cell_message_bytes, "cell-message"));
    return from_body(it);
}

using decoder = result<cell_message> (*)(std::string_view);

template<typename... messages>
constexpr auto make_decoders(const std::variant<messages...>*) -> std::vector<decoder>
{
    return {&decode_body<std::decay_t<decltype(to_body(std::declval<messages>()))>>...};
}

} // namespace

auto encode_cell_message(const cell_message& message) -> std::string
{
    std::string out(1, static_cast<char>(message.index()));
    out += std::visit([](const auto& it) { return encode_fields(to_body(it)); }, message);
    return out;
}

auto decode_cell_message(std::string_view bytes) -> result<cell_message>
{
    static const auto decoders = make_decoders(static_cast<const cell_message*>(nullptr));
    if (bytes.empty() || static_cast<unsigned char>(bytes.front()) >= decoders.size()) {
        return error{error_code::invalid_message, "cell-message", "", "unknown kind"};
    }
    auto out = decoders[static_cast<unsigned char>(bytes.front())](bytes.substr(1));
    if (!out) {
        return error{error_code::invalid_message, "cell-message", "", out.error().message};
    }
    return out;
}

auto control_path(const cell_message& message) -> std::string_view
{
    switch (message.index()) {
    case 5:
    case 6:
        return "/register-read";
    case 7:
    case 8:
        return "/register-write";
    case 9:
        return "/membership-ack";
    case 10:
    case 11:
        return "/dispatcher";
    case 12:
        return "/release";
    default:
        return "/lease";
    }
}

auto lease_digest(const std::vector<lease_entry>& entries) -> std::uint32_t
{
    std::uint64_t out = 0;
    for (const auto& it : entries) {
        out = hash_bytes(it.server.value(), out ^ (it.term.value() * 2 + (it.available ? 1 : 0)));
    }
    return static_cast<std::uint32_t>(out);
}

} // namespace cornelswitch
