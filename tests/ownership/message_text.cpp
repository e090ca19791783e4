#include "tests/ownership/message_text.h"

#include <map>
#include <sstream>

namespace cornelswitch::test {

namespace {

auto text_of(const lease_list& it) -> std::string
{
    std::ostringstream out;
    out << "lease-list";
    for (const auto& e : it.entries) {
        out << ' ' << e.server << '@' << e.term << (e.available ? "" : "!");
    }
    return out.str();
}

auto text_of(const lease_votes& it) -> std::string
{
    std::ostringstream out;
    out << "lease-votes";
    for (const auto& e : it.votes) {
        out << (e.granted ? " yes" : " no");
    }
    return out.str();
}

auto text_of(const lease_release& it) -> std::string
{
    std::ostringstream out;
    out << "lease-release";
    for (const auto& e : it.entries) {
        out << ' ' << e.server << '@' << e.term;
    }
    return out.str();
}

auto text_of(const std::vector<register_entry>& entries) -> std::string
{
    std::map<std::string, slot_set> groups;
    for (const auto& it : entries) {
        std::ostringstream value;
        value << it.value.epoch << " from " << it.value.from << " to "
              << (it.value.target ? it.value.target->value() : "released")
              << (it.value.committed ? " committed" : " proposed");
        groups[value.str()].insert(it.key.slot);
    }
    std::string out;
    for (const auto& [value, slots] : groups) {
        out += " [" + slots.to_text() + " = " + value + "]";
    }
    return out;
}

auto text_of(const register_read&) -> std::string
{
    return "register-read";
}

auto text_of(const register_copy& it) -> std::string
{
    return "register-copy" + text_of(it.entries);
}

auto text_of(const register_write& it) -> std::string
{
    std::ostringstream out;
    out << "register-write " << it.server << '@' << it.term << text_of(it.entries);
    return out.str();
}

auto text_of(const register_written& it) -> std::string
{
    return std::string{"register-written "} + (it.accepted ? "accepted" : "refused");
}

auto text_of(const membership_ack& it) -> std::string
{
    return "membership-ack " + std::to_string(it.epoch);
}

auto text_of(const dispatcher_assignment& it) -> std::string
{
    std::ostringstream out;
    out << "duty " << it.server.id << '@' << it.term;
    for (const auto& grant : it.slots) {
        out << ' ' << grant.slot << '=' << grant.epoch;
    }
    for (const auto& slot : it.draining_slots) {
        out << " drain " << slot;
    }
    return out.str();
}

auto text_of(const dispatcher_assignment_ended& it) -> std::string
{
    std::ostringstream out;
    out << "duty-ended " << it.server << '@' << it.term;
    return out.str();
}

auto text_of(const transfer_record& it) -> std::string
{
    std::ostringstream out;
    out << "transfer";
    for (const auto& e : it.entries) {
        out << " [" << e.slots.to_text() << " = " << e.epoch << " to " << e.server << ']';
    }
    return out.str();
}

auto text_of(const release_record& it) -> std::string
{
    std::ostringstream out;
    out << "release";
    for (const auto& e : it.entries) {
        out << " [" << e.slots.to_text() << " = " << e.epoch << ']';
    }
    return out.str();
}

auto text_of(const server_state_record& it) -> std::string
{
    return "server-state " + it.server.value() + (it.lost ? " lost" : " available");
}

template<typename other>
auto text_of(const other&) -> std::string
{
    return "";
}

} // namespace

auto to_text(const cell_message& message) -> std::string
{
    return std::visit([](const auto& it) { return text_of(it); }, message);
}

auto to_text(const dispatcher_message& message) -> std::string
{
    return std::visit([](const auto& it) { return text_of(it); }, message);
}

auto to_text(const grant_message& message) -> std::string
{
    if (message.grants.empty() && message.revoke.empty() && !message.full) {
        return "";
    }
    std::ostringstream out;
    out << "grants @" << message.term << (message.full ? " full" : "");
    for (const auto& it : message.grants) {
        out << " [" << it.slots.to_text() << " = " << it.epoch << ']';
    }
    for (const auto& it : message.revoke) {
        out << " revoke " << it.slots.to_text();
    }
    return out.str();
}

auto to_text(const record_body& body) -> std::string
{
    return std::visit([](const auto& it) { return text_of(it); }, body);
}

} // namespace cornelswitch::test
