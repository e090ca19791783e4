#include "daemon/server_protocol.h"

#include "core/intervals.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cornelswitch {

namespace {

auto milliseconds_of(duration it) -> std::string
{
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(it).count());
}

auto number_in(const response_head& head, std::string_view name) -> std::optional<std::uint64_t>
{
    const auto* text = find_header(head.headers, name);
    return text != nullptr ? parse_decimal(*text) : std::nullopt;
}

} // namespace

auto wire_request_id(boot_id boot, request_id id) -> std::string
{
    return std::to_string(boot.value()) + "-" + std::to_string(id.value());
}

auto make_server_request(const server_job& it, lease_term term, slot_epoch epoch,
                         std::uint64_t grant_version, boot_id boot) -> http_request
{
    const auto& from = it.request->request();
    http_request out{from.method, from.path, without_internal(from.headers),
                     it.request->take_body()};
    auto& headers = out.headers;
    if (it.info.slot) {
        auto text = std::to_string(epoch.major) + "." + std::to_string(epoch.minor);
        headers.push_back({"cornelswitch-slot", std::to_string(it.info.slot->value())});
        headers.push_back({"cornelswitch-epoch", std::move(text)});
    }
    auto remaining = std::max<duration>(it.deadline - it.sent_at, std::chrono::milliseconds{1});
    headers.push_back({"cornelswitch-term", std::to_string(term.value())});
    headers.push_back({"cornelswitch-grant-ttl-ms", milliseconds_of(grant_ttl)});
    headers.push_back({"cornelswitch-grant-version", std::to_string(grant_version)});
    headers.push_back({"cornelswitch-request-id", wire_request_id(boot, it.id)});
    headers.push_back({"cornelswitch-deadline-ms", milliseconds_of(remaining)});
    return out;
}

auto is_server_refusal(const response_head& head) -> bool
{
    const auto* outcome = find_header(head.headers, "cornelswitch-outcome");
    bool may_refuse = head.status == 409 || head.status == 503;
    return may_refuse && outcome != nullptr && *outcome == "not-run";
}

auto read_server_head(const response_head& head, server_response& out) -> void
{
    bool has_failed = head.status >= 500;
    out.signal = has_failed ? response_signal::failure : response_signal::success;
    out.boot = boot_id{number_in(head, "cornelswitch-boot").value_or(0)};
    if (auto running = number_in(head, "cornelswitch-running")) {
        out.running = static_cast<std::uint32_t>(std::min<std::uint64_t>(*running, UINT32_MAX));
    }
}

} // namespace cornelswitch
